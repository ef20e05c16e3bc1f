package silverlatch.gossip;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;
import silverlatch.replication.Replica;
import silverlatch.replication.View;
import silverlatch.safeguard.Safeguard;
import silverlatch.safeguard.Safeguards;
import silverlatch.state.Entry;
import silverlatch.state.TableRules;
import silverlatch.wire.GossipMessage;

/**
 * Guards against a copy of the state whose revision decreases, that counts as confirmed later than a pull proves, or
 * that takes the view of another fleet.
 */
final class StateCopyTest {
    private static final Replica REPLICA = new Replica("id", "a:1");

    private final StateCopy copy = new StateCopy(Safeguards.ALL);

    private static List<Entry> entries(final long revision) {
        return List.of(new Entry("r/*/chat", revision, List.of(TableRules.defaultRow("*", "chat"))));
    }

    private static View view(final long number, final long fleet) {
        return new View(number, fleet, List.of(REPLICA), List.of(REPLICA), "id");
    }

    private static GossipMessage.GossipPullReply reply(
            final long askedAt, final long revision, final long age, final List<View> views) {
        final GossipMessage.PullContent emptyContent =
                new GossipMessage.PullContent.FullContent(List.of(), List.of(), List.of());
        return new GossipMessage.GossipPullReply(
                askedAt, revision, age, 7, revision == 0 ? List.of() : entries(revision), views, emptyContent);
    }

    @Test
    void pullConfirmsAsOfRequestTimeMinusAgeAtOtherNode() {
        assertThat(copy.age(100), is(Long.MAX_VALUE));
        assertThat(copy.onPullReply(reply(100, 3, 20, List.of())), is(true));
        assertThat(copy.revision(), is(3L));
        assertThat(copy.age(100), is(20L));
        assertThat(copy.lastConfirmedAt(), is(Optional.of(80L)));
        assertThat(copy.onPullReply(reply(105, 3, 50, List.of())), is(false));
        assertThat(copy.age(100), is(20L));
    }

    @Test
    void replyWithUnknownAgeDoesNotConfirm() {
        copy.onPullReply(reply(100, 3, -1, List.of()));
        assertThat(copy.revision(), is(3L));
        assertThat(copy.age(100), is(Long.MAX_VALUE));
    }

    @Test
    void lowerRevisionNeitherReplacesNorConfirmsCopy() {
        copy.onPullReply(reply(100, 3, 0, List.of()));
        assertThat(copy.onPullReply(reply(200, 2, 0, List.of())), is(false));
        assertThat(copy.revision(), is(3L));
        assertThat(copy.age(200), is(100L));
    }

    @Test
    void lowerRevisionReplacesCopyIfSafeguardIsDisabled() {
        final StateCopy unsafe = new StateCopy(new Safeguards(Set.of(Safeguard.MONOTONIC_REVISION)));
        unsafe.onPullReply(reply(100, 3, 0, List.of()));
        unsafe.onPullReply(reply(200, 2, 0, List.of()));
        assertThat(unsafe.revision(), is(2L));
        assertThat(unsafe.highestRevision(), is(2L));
    }

    @Test
    void copyHasNoAgeWhileHigherRevisionIsKnown() {
        copy.onPullReply(reply(100, 3, 0, List.of()));
        assertThat(copy.observeRevision(3), is(true));
        assertThat(copy.observeRevision(3), is(false));
        assertThat(copy.observeRevision(5), is(true));
        assertThat(copy.highestRevision(), is(5L));
        assertThat(copy.age(100), is(Long.MAX_VALUE));
        assertThat("the higher revision was acknowledged later", copy.lastConfirmedAt(), is(Optional.of(100L)));
        copy.onPullReply(reply(110, 5, 0, List.of()));
        assertThat(copy.age(110), is(0L));
    }

    @Test
    void eachRevisionIsPushedOnce() {
        assertThat(copy.drainUnpushedRevision(), is(OptionalLong.empty()));
        copy.onPullReply(reply(100, 3, 0, List.of()));
        assertThat(copy.drainUnpushedRevision(), is(OptionalLong.of(3)));
        assertThat(copy.drainUnpushedRevision(), is(OptionalLong.empty()));
    }

    @Test
    void onlyOutdatedNodeReceivesEntriesAndView() {
        copy.onPullReply(reply(100, 3, 0, List.of()));
        assertThat(copy.entriesSince(2), is(entries(3)));
        assertThat(copy.entriesSince(3), empty());
        assertThat(copy.acceptsFleet(7), is(true));
        copy.onPullReply(reply(100, 3, 0, List.of(view(4, 7))));
        assertThat(copy.viewNewerThan(3), is(List.of(view(4, 7))));
        assertThat(copy.viewNewerThan(4), empty());
    }

    @Test
    void viewOfOtherFleetAndOlderViewAreIgnored() {
        copy.acceptsFleet(7);
        copy.onPullReply(reply(100, 0, -1, List.of(view(4, 8))));
        assertThat(copy.view(), is(View.NONE));
        copy.onPullReply(reply(100, 0, -1, List.of(view(4, 7))));
        copy.onPullReply(reply(100, 0, -1, List.of(view(3, 7))));
        assertThat(copy.view(), is(view(4, 7)));
    }

    @Test
    void firstKnownFleetIsKept() {
        assertThat(copy.acceptsFleet(0), is(true));
        assertThat(copy.acceptsFleet(7), is(true));
        assertThat(copy.acceptsFleet(8), is(false));
        assertThat(copy.acceptsFleet(0), is(true));
        assertThat(copy.fleet(), is(7L));
    }
}
