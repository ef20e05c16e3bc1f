package silverlatch.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import silverlatch.gossip.Gossip;
import silverlatch.placement.PlacementInput;

/**
 * What this gateway knows of its own attempts at one worker, beside the worker's reports. A report counts the attempts that
 * were sent before it was made; those sent since are counted here. Owned by the dispatch event loop; times in microseconds.
 */
final class WorkerUsage {
    /** A worker whose reports were further apart than this counts as returned and starts slowly again. */
    private static final long MAX_REPORT_GAP_MICROS = 3_000_000L;

    private final Deque<Long> sendTimes = new ArrayDeque<>();
    private long incarnation;
    private int inFlight;
    private int endedSinceReport;
    private long ejectedUntil;
    private long newestReportAt = Long.MIN_VALUE;
    private long recoveredAt = Long.MIN_VALUE / 2;

    /** No attempts yet at a worker of this incarnation. */
    WorkerUsage(final long incarnation) {
        this.incarnation = incarnation;
    }

    /** Takes a report of the worker. */
    void observe(final Gossip.ObservedWorker report, final long now) {
        if (report.worker().incarnation() != incarnation) {
            incarnation = report.worker().incarnation();
            recoveredAt = now;
        }
        report.asOf().ifPresent(reportedAt -> {
            if (newestReportAt != Long.MIN_VALUE && reportedAt - newestReportAt > MAX_REPORT_GAP_MICROS) {
                recoveredAt = now;
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

    /** An attempt takes a slot there. */
    void attemptStarted(final long now) {
        inFlight++;
        sendTimes.add(now);
    }

    /** An attempt gives its slot back. */
    void attemptEnded() {
        inFlight--;
        endedSinceReport++;
    }

    /** Nothing new goes there until this time. */
    void ejectUntil(final long time) {
        ejectedUntil = time;
    }

    /** Whether no attempt holds a slot there. */
    boolean isUnused() {
        return inFlight == 0;
    }

    /** The worker as the scorers see it. */
    PlacementInput placementInput(final Gossip.ObservedWorker report, final long now, final int gatewayCount) {
        return new PlacementInput(
                report.worker(),
                report.age(now),
                Math.max(0, sendTimes.size() - endedSinceReport),
                inFlight,
                now - recoveredAt,
                now < ejectedUntil,
                gatewayCount);
    }
}
