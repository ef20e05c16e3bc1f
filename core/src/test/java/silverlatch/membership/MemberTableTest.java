package silverlatch.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against live members without enough watchers, and against cached lists that miss a change. */
final class MemberTableTest {
    private final MemberTable table = new MemberTable(member("m0", "up"));

    private static Member member(final String id, final String state) {
        return new Member(id, "gateway", "z", "r", id, id, 1, 0, state, true);
    }

    private static List<String> ids(final List<Member> members) {
        return members.stream().map(Member::id).toList();
    }

    private void fill(final int size) {
        for (int i = 1; i < size; i++) {
            table.putOther(member("m" + i, "up"), i);
        }
    }

    @Test
    void everyMemberHasThreeWatchersAndSelfWatchesThoseItIsWatcherOf() {
        fill(20);
        final List<String> watched = ids(table.watchedBySelf());
        assertThat(watched.size(), is(3));
        for (final Member member : table.all()) {
            final List<String> watchers = ids(table.watchersOf(member.id()));
            assertThat(watchers.size(), is(3));
            assertThat(member.id(), watchers.contains("m0"), is(watched.contains(member.id())));
        }
    }

    @Test
    void memberOfSmallFleetIsWatchedByAllOthers() {
        assertThat(table.watchersOf("m0"), empty());
        assertThat(table.watchedBySelf(), empty());
        fill(3);
        assertThat(ids(table.watchersOf("m0")), containsInAnyOrder("m1", "m2"));
        assertThat(ids(table.watchedBySelf()), containsInAnyOrder("m1", "m2"));
    }

    @Test
    void deadMemberNeitherWatchesNorIsWatched() {
        fill(3);
        table.putOther(member("m1", "dead"), 9);
        assertThat(ids(table.watchersOf("m0")), is(List.of("m2")));
        assertThat(ids(table.watchedBySelf()), is(List.of("m2")));
        table.putSelf(member("m0", "left"));
        assertThat(table.watchedBySelf(), empty());
    }

    @Test
    void derivedListsReflectEachChange() {
        fill(3);
        assertThat(ids(table.liveOthers()), is(List.of("m1", "m2")));
        assertThat(table.suspects(), empty());
        final long version = table.version();
        table.putOther(member("m2", "suspect"), 50);
        assertThat(table.version(), is(version + 1));
        assertThat(ids(table.liveOthers()), is(List.of("m1", "m2")));
        assertThat(ids(table.suspects()), is(List.of("m2")));
        assertThat(table.sinceUpdate(member("m2", "suspect"), 60), is(10L));
        assertThat(table.sinceUpdate(member("m0", "up"), 60), is(0L));
    }
}
