package silverlatch.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import silverlatch.clock.PhysicalClock;
import silverlatch.wire.TrafficMessage;

/** When a gateway reports. Its monotonic clock is 0 at the beginning of a window. */
final class TrafficReporterTest {
    private static final long SECOND = 1_000_000;
    private static final long WINDOW = 5 * SECOND;
    private static final long STEP = 100_000;
    private static final String OWNER = "owner:1";
    private final PhysicalClock clock = new PhysicalClock(1_000 * WINDOW * 1_000, 0, 0);
    private final UsageCounter counter = new UsageCounter(new UsageSchedule(WINDOW, 2 * WINDOW), () -> clock);
    private final TrafficReporter reporter = new TrafficReporter("gateway", 7, Optional.of(counter), List::of);

    /** Returns how many reports are sent in a time span. */
    private int reports(final long from, final long until) {
        int reports = 0;
        for (long now = from; now < until; now += STEP) {
            reports += reporter.tick(OWNER, true, now).isPresent() ? 1 : 0;
        }
        return reports;
    }

    @Test
    void nothingIsReportedIfTheConfigurationHasNoTenants() {
        assertThat(reporter.tick(OWNER, false, SECOND), is(Optional.empty()));
        assertThat(reporter.finalReport(false, SECOND), is(Optional.empty()));
    }

    @Test
    void countsAreReportedEvenIfTheTenantsWereRemovedMeanwhile() {
        counter.count("acme", 0);
        assertThat(reporter.tick(OWNER, false, SECOND).isPresent(), is(true));
    }

    @Test
    void aGatewayWithNewCountsReportsOnceASecond() {
        int reports = 0;
        for (long now = SECOND; now < 4 * SECOND; now += STEP) {
            counter.count("acme", now);
            reports += reporter.tick(OWNER, true, now).isPresent() ? 1 : 0;
        }
        assertThat(reports, is(3));
    }

    @Test
    void aCompleteWindowIsReportedImmediatelyAndRepeatedUntilAcknowledged() {
        reports(SECOND, WINDOW);
        final long complete = WINDOW + 2 * STEP;
        final Optional<TrafficMessage.TrafficReport> report = reporter.tick(OWNER, true, complete);
        assertThat(report.get().windows().get(0).isComplete(), is(true));
        assertThat("resent", reports(complete + STEP, complete + 2 * SECOND + STEP), is(2));
        reporter.onAck(new TrafficMessage.TrafficReportAck(6, List.of(1_000L)));
        assertThat(
                "acknowledgement to an earlier incarnation",
                counter.windows(complete).size(),
                is(2));
        reporter.onAck(new TrafficMessage.TrafficReportAck(7, List.of(1_000L)));
        assertThat("idle", reports(complete + 3 * SECOND, 2 * WINDOW), is(1));
    }

    @Test
    void aNewOwnerGetsAllWindowsThatAreNotClosedImmediately() {
        counter.count("acme", 0);
        reporter.tick(OWNER, true, WINDOW + SECOND);
        final Optional<TrafficMessage.TrafficReport> report =
                reporter.tick("successor:1", true, WINDOW + SECOND + 2 * STEP);
        assertThat(report.get().windows().size(), is(2));
    }

    @Test
    void reportsBecomeLessFrequentWhileWindowsAreNotClosed() {
        reports(SECOND, 59 * WINDOW);
        final int reports = reports(59 * WINDOW, 63 * WINDOW);
        assertThat(
                "at most one for each new window, and a few at the longer interval: " + reports,
                reports <= 6,
                is(true));
    }

    @Test
    void aStoppingGatewayReportsAllWindowsOnceMore() {
        counter.count("acme", 0);
        final TrafficMessage.TrafficReport first =
                reporter.tick(OWNER, true, SECOND).get();
        counter.count("acme", SECOND);
        final TrafficMessage.TrafficReport last =
                reporter.finalReport(true, SECOND + 1).get();
        assertThat(last.windows().get(0).counts().get(0).requests(), is(2L));
        assertThat(last.sequence() > first.sequence(), is(true));
    }
}
