package silverlatch.state;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import silverlatch.clock.Stamp;

/**
 * Guards against replicas with different entries, counts or revisions, after late writes or a repair, and against
 * gateways that miss a deletion because it left no tombstone.
 */
final class EntryTableTest {
    private static final int RANGE_COUNT = 16;
    private final EntryTable table = new EntryTable();

    private static Entry zone(final String name, final long sequence) {
        return new Entry("z/" + name, sequence, List.of(new Value.Evacuation(name, true, new Stamp(sequence))));
    }

    private static Entry row(final String kind, final long sequence) {
        return new Entry("r/*/" + kind, sequence, List.of(TableRules.defaultRow("*", kind)));
    }

    private static Entry claim(final String key, final long sequence) {
        return new Entry("c/" + key, sequence, List.of(new Value.Claim("request", "gateway", "running", 1, 0)));
    }

    private static Entry deleted(final String key, final long sequence) {
        return new Entry(key, sequence, List.of());
    }

    @Test
    void deletedPolicyEntryRemainsAsATombstoneAndAnyOtherIsRemoved() {
        table.apply(1, List.of(zone("a", 1), claim("b", 1)));
        table.apply(2, List.of(deleted("z/a", 2), deleted("c/b", 2)));
        assertThat(table.all(), is(List.of(deleted("z/a", 2))));
        assertThat(table.policySince(1), is(List.of(deleted("z/a", 2))));
        assertThat(table.claimCount(), is(0));
    }

    @Test
    void olderWriteDoesNotReplaceANewerOne() {
        table.apply(5, List.of(zone("a", 5)));
        table.apply(4, List.of(zone("a", 4)));
        assertThat(table.find("z/a"), is(Optional.of(zone("a", 5))));
        assertThat(table.sequence(), is(5L));
    }

    @Test
    void revisionsAreTheNewestSequencesOfTheirKindsOfEntry() {
        table.apply(1, List.of(row("chat", 1)));
        table.apply(2, List.of(zone("a", 2)));
        table.apply(3, List.of(claim("b", 3)));
        assertThat(table.tableRevision(), is(1L));
        assertThat(table.policyRevision(), is(2L));
        assertThat(table.sequence(), is(3L));
        assertThat(table.policySince(0), is(List.of(row("chat", 1), zone("a", 2))));
    }

    @Test
    void repairOfTheDifferingRangesRestoresTheStateOfTheSource() {
        final EntryTable source = new EntryTable();
        source.apply(9, List.of(zone("a", 7), row("chat", 8), claim("b", 9)));
        table.apply(12, List.of(zone("a", 7), row("chat", 11), claim("c", 12)));
        for (int range = 0; range < RANGE_COUNT; range++) {
            if (table.digests(RANGE_COUNT)[range] != source.digests(RANGE_COUNT)[range]) {
                table.replaceRange(range, RANGE_COUNT, source.inRange(range, RANGE_COUNT));
            }
        }
        table.completeRepair(9);
        assertThat(table.all(), is(source.all()));
        assertThat(table.sequence(), is(9L));
        assertThat(table.policyRevision(), is(8L));
        assertThat(table.tableRevision(), is(8L));
        assertThat(table.claimCount(), is(1));
        assertThat(table.policySince(7), is(List.of(row("chat", 8))));
    }
}
