package silverlatch.quay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;
import silverlatch.tariff.Charters;
import silverlatch.tariff.Entry;
import silverlatch.tariff.Leaf;
import silverlatch.tide.Stamp;
import silverlatch.wire.Codec;
import silverlatch.wire.Msg;

final class ChangeTest {
    private static Change change(final long sequence, final Leaf leaf) {
        return new Change(sequence, 1, new Stamp(sequence), List.of(new Entry("q/paper", sequence, List.of(leaf))));
    }

    @Test
    void heavyChangesGoInFramesOfTheirOwn() {
        final Change heavy = change(1, new Leaf.Paper(1, "x".repeat(Charters.LONGEST)));
        final List<Change> many = Collections.nCopies(9, heavy);
        final List<Change> batch = Change.batch(many.stream(), 512, 4L << 20);
        assertThat(batch.size(), is(1));
        assertThat(new Codec().write(new Msg.Pass(1, batch)).length, lessThan(Codec.MOST));
        final Change light = change(1, new Leaf.Glass(1));
        assertThat(Change.batch(Collections.nCopies(900, light).stream(), 512, 4L << 20).size(), is(512));
        assertThat(Change.batch(List.of(light, light, heavy, light).stream(), 512, 4L << 20).size(), is(2));
    }

    @Test
    void aCharterOfAsManyRulesAsThereMayBeFitsAFrame() {
        final List<Entry> puts = new ArrayList<>();
        for (int i = 0; i < Charters.MOST; i++) {
            final Leaf.Rule r = new Leaf.Rule("rule of route number " + i, "service-" + i + ".example", "/some/longer/path/", true, true, false, true, 30_000_000,
                    500_000, 20_000, 1, 3, List.of("north", "south"), List.of(new Leaf.Lot("warm", 3), new Leaf.Lot("spare", 1)));
            puts.add(new Entry(Charters.rule(r.host(), r.path()), 1, List.of(r)));
        }
        puts.add(new Entry(Charters.PAPER, 1, List.of(new Leaf.Paper(1, "x".repeat(Charters.LONGEST)))));
        final Change c = new Change(1, 1, new Stamp(1), puts);
        final int size = new Codec().write(new Msg.Pass(1, List.of(c))).length;
        assertThat(size, lessThan(Codec.MOST));
        assertThat("a weight is not much below the size", c.weight() * 2, greaterThan((long) size));
    }
}
