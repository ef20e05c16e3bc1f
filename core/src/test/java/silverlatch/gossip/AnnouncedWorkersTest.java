package silverlatch.gossip;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import silverlatch.node.Effect;
import silverlatch.node.Event;
import silverlatch.wire.GossipMessage;

/**
 * Guards against announcements that are dated later than what proves their age, replaced by older ones, or not
 * forwarded when a worker drains.
 */
final class AnnouncedWorkersTest {
    private static final long SECOND = 1_000_000;

    private final List<Effect> logs = new ArrayList<>();
    private final AnnouncedWorkers workers = new AnnouncedWorkers(new SplittableRandom(1), logs::add);

    private static Worker worker(final long incarnation, final long sequence, final boolean draining) {
        return new Worker("w", "a:1", "z", "r", incarnation, sequence, 0, 0, 1, List.of(), draining, 0);
    }

    private Gossip.ObservedWorker observed() {
        return workers.snapshot().get("w");
    }

    private List<Event> events() {
        return logs.stream().map(e -> ((Effect.Log) e).event()).toList();
    }

    @Test
    void echoTokenDatesAnnouncementToReplyThatCarriedToken() {
        final long token = workers.announce(worker(1, 1, false), 0, 10);
        assertThat(observed().asOf(), is(Optional.empty()));
        workers.announce(worker(1, 2, false), token + 1, 20);
        assertThat(observed().asOf(), is(Optional.empty()));
        final long next = workers.announce(worker(1, 3, false), 0, 30);
        workers.announce(worker(1, 4, false), next, 40);
        assertThat(observed().asOf(), is(Optional.of(30L)));
    }

    @Test
    void tokenOfEarlierIncarnationDoesNotDateAnnouncement() {
        final long token = workers.announce(worker(1, 1, false), 0, 10);
        workers.announce(worker(2, 1, false), token, 20);
        assertThat(observed().asOf(), is(Optional.empty()));
    }

    @Test
    void onlyNewerAnnouncementReplacesKnownOne() {
        workers.merge(worker(2, 5, false));
        workers.merge(worker(1, 9, false));
        workers.merge(worker(2, 4, false));
        assertThat(observed().worker(), is(worker(2, 5, false)));
        workers.merge(worker(2, 6, false));
        assertThat(observed().worker(), is(worker(2, 6, false)));
    }

    @Test
    void drainIsForwardedOncePerIncarnation() {
        workers.merge(worker(1, 1, true));
        workers.merge(worker(1, 2, true));
        assertThat(workers.drainNewlyDraining(), is(List.of(worker(1, 1, true))));
        assertThat(workers.drainNewlyDraining(), empty());
        workers.merge(worker(2, 1, true));
        assertThat(workers.drainNewlyDraining(), is(List.of(worker(2, 1, true))));
        assertThat(events(), is(List.of(Event.WORKER_KNOWN, Event.WORKER_LEAVING, Event.WORKER_LEAVING)));
    }

    @Test
    void goneWorkerIsMarkedAsDrainingWithNextSequence() {
        assertThat(workers.markGone("w"), is(false));
        workers.merge(worker(1, 1, false));
        assertThat(workers.markGone("w"), is(true));
        assertThat(observed().worker(), is(worker(1, 2, true)));
        assertThat(workers.markGone("w"), is(true));
        assertThat(observed().worker(), is(worker(1, 2, true)));
    }

    @Test
    void pullReplyContainsAgesOfCommonAnnouncementsAndNewerAnnouncements() {
        workers.merge(worker(1, 5, false));
        final ReportVersion older = new ReportVersion("w", 1, 4);
        final ReportVersion same = new ReportVersion("w", 1, 5);
        final ReportVersion newer = new ReportVersion("w", 1, 6);
        final List<GossipMessage.ReportAge> ages = List.of(new GossipMessage.ReportAge("w", 1, 5, -1));
        assertThat(workers.newerThan(List.of()), is(List.of(worker(1, 5, false))));
        assertThat(workers.newerThan(List.of(older)), is(List.of(worker(1, 5, false))));
        assertThat(workers.newerThan(List.of(same)), empty());
        assertThat(workers.newerThan(List.of(newer)), empty());
        assertThat(workers.agesFor(List.of(), 0), is(ages));
        assertThat(workers.agesFor(List.of(older), 0), is(ages));
        assertThat(workers.agesFor(List.of(same), 0), is(ages));
        assertThat(workers.agesFor(List.of(newer), 0), empty());
    }

    @Test
    void ageFromPullIsDatedToRequestAndNeverMovesBack() {
        workers.merge(worker(1, 5, false));
        workers.onAges(
                List.of(new GossipMessage.ReportAge("w", 1, 4, 0), new GossipMessage.ReportAge("w", 1, 5, -1)), 100);
        assertThat(observed().asOf(), is(Optional.empty()));
        workers.onAges(List.of(new GossipMessage.ReportAge("w", 1, 5, 30)), 100);
        assertThat(observed().asOf(), is(Optional.of(70L)));
        workers.onAges(List.of(new GossipMessage.ReportAge("w", 1, 5, 50)), 110);
        assertThat(observed().asOf(), is(Optional.of(70L)));
    }

    @Test
    void workerIsRemovedOneMinuteAfterLastRenewal() {
        workers.merge(worker(1, 5, false));
        workers.expire(1_000 * SECOND);
        assertThat(workers.snapshot().keySet(), not(empty()));
        workers.onAges(List.of(new GossipMessage.ReportAge("w", 1, 5, 0)), 0);
        workers.expire(60 * SECOND);
        assertThat(workers.snapshot().keySet(), not(empty()));
        workers.expire(60 * SECOND + 1);
        assertThat(workers.snapshot().keySet(), empty());
    }
}
