package silverlatch.gossip;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.Test;
import silverlatch.membership.Member;

/**
 * Guards against a worker that is declared silent while another controller may still receive its announcements: after
 * a pause of this process, or without recent contact to the controllers near the worker.
 */
final class SilenceDetectorTest {
    private static final long TIMEOUT = 5_000_000;
    private static final long SCAN_INTERVAL = 250_000;

    private final SilenceDetector detector = new SilenceDetector(TIMEOUT);

    private static Member controller(final String id, final String zone, final String region) {
        return new Member(id, "controller", zone, region, id, id, 1, 0, "up", true);
    }

    private static TrackedReport reportWithHeartbeatAt(final long time) {
        final Worker worker = new Worker("w", "a", "z", "r", 1, 1, 0, 0, 1, List.of(), false, 0);
        return TrackedReport.ofAnnouncement(WorkerReport.of(worker), time);
    }

    @Test
    void scanIsDueEveryQuarterSecond() {
        assertThat(detector.startScan(0), is(true));
        assertThat(detector.startScan(SCAN_INTERVAL - 1), is(false));
        assertThat(detector.startScan(SCAN_INTERVAL), is(true));
    }

    @Test
    void processHasRunUninterruptedAfterScanningForWholeTimeout() {
        long now = 0;
        for (; now < TIMEOUT; now += SCAN_INTERVAL) {
            detector.startScan(now);
            assertThat(detector.hasRunUninterrupted(now), is(false));
        }
        detector.startScan(now);
        assertThat(detector.hasRunUninterrupted(now), is(true));
        now += 1_000_001;
        detector.startScan(now);
        assertThat(detector.hasRunUninterrupted(now), is(false));
    }

    @Test
    void workerIsSilentOnlyAfterTimeout() {
        assertThat(detector.isSilent(reportWithHeartbeatAt(0), List.of(), TIMEOUT), is(false));
        assertThat(detector.isSilent(reportWithHeartbeatAt(0), List.of(), TIMEOUT + 1), is(true));
    }

    @Test
    void workerIsSilentOnlyWhileAllControllersInItsZoneAreInContact() {
        final long now = 10 * TIMEOUT;
        final List<Member> controllers = List.of(controller("near", "z", "r"), controller("far", "y", "q"));
        assertThat(detector.isSilent(reportWithHeartbeatAt(0), controllers, now), is(false));
        detector.recordContact("far", now);
        assertThat(detector.isSilent(reportWithHeartbeatAt(0), controllers, now), is(false));
        detector.recordContact("near", now - TIMEOUT / 2);
        assertThat(detector.isSilent(reportWithHeartbeatAt(0), controllers, now), is(true));
        assertThat(detector.isSilent(reportWithHeartbeatAt(0), controllers, now + 1), is(false));
    }

    @Test
    void controllersOfRegionOrAllAreRequiredIfZoneHasNone() {
        final long now = 10 * TIMEOUT;
        final List<Member> region = List.of(controller("near", "y", "r"), controller("far", "x", "q"));
        final List<Member> elsewhere = List.of(controller("one", "y", "q"), controller("two", "x", "q"));
        detector.recordContact("near", now);
        detector.recordContact("one", now);
        assertThat(detector.isSilent(reportWithHeartbeatAt(0), region, now), is(true));
        assertThat(detector.isSilent(reportWithHeartbeatAt(0), elsewhere, now), is(false));
        detector.recordContact("two", now);
        assertThat(detector.isSilent(reportWithHeartbeatAt(0), elsewhere, now), is(true));
    }

    @Test
    void resetDiscardsContacts() {
        final List<Member> controllers = List.of(controller("near", "z", "r"));
        detector.recordContact("near", 2 * TIMEOUT);
        detector.reset();
        assertThat(detector.isSilent(reportWithHeartbeatAt(0), controllers, 2 * TIMEOUT), is(false));
    }
}
