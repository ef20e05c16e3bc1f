package silverlatch.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import silverlatch.gossip.Gossip;
import silverlatch.placement.PlacementInput;

/** What this gateway knows of its own runs at a worker. One duty owns it. */
final class WorkerUsage {
    private static final long SECOND = 1_000_000L;
    final Deque<Long> sendTimes = new ArrayDeque<>();
    long incarnation;
    int inFlight;
    int endedSinceReport;
    long ejectedUntil;
    long newestReportAt = Long.MIN_VALUE;
    long returnedAt = Long.MIN_VALUE / 2;

    WorkerUsage(final long incarnation) {
        this.incarnation = incarnation;
    }

    void observe(final Gossip.ObservedWorker report, final long now) {
        if (report.worker().incarnation() != incarnation) {
            incarnation = report.worker().incarnation();
            returnedAt = now;
        }
        report.asOf().ifPresent(reportedAt -> {
            if (newestReportAt != Long.MIN_VALUE && reportedAt - newestReportAt > 3 * SECOND) {
                returnedAt = now;
            }
            if (reportedAt > newestReportAt) {
                newestReportAt = reportedAt;
                while (!sendTimes.isEmpty() && sendTimes.peek() < reportedAt) {
                    sendTimes.poll();
                }
                endedSinceReport = 0;
            }
        });
    }

    void attemptStarted(final long now) {
        inFlight++;
        sendTimes.add(now);
    }

    void attemptEnded() {
        inFlight--;
        endedSinceReport++;
    }

    PlacementInput placementInput(final Gossip.ObservedWorker report, final long now, final int gatewayCount) {
        return new PlacementInput(
                report.worker(),
                report.age(now),
                Math.max(0, sendTimes.size() - endedSinceReport),
                inFlight,
                now - returnedAt,
                now < ejectedUntil,
                gatewayCount);
    }
}
