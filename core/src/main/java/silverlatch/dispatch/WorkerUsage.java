package silverlatch.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import silverlatch.gossip.Gossip;
import silverlatch.placement.PlacementInput;

/**
 * Tracks this gateway's own attempts at one worker, in addition to the worker's reports. A report includes the attempts that
 * were sent before it was made; those sent since then are counted here. Also tracks the worker's ejection and the start of its
 * slow start. Used only by the dispatch event loop; times are readings of the monotonic clock in microseconds.
 */
final class WorkerUsage {
    /** A worker that was silent for longer than this between two reports goes through slow start again. */
    private static final long MAX_REPORT_GAP_MICROS = 3_000_000L;

    private final Deque<Long> sendTimes = new ArrayDeque<>();
    private long incarnation;
    private int inFlight;
    private int endedSinceReport;
    private long ejectedUntil;
    private long newestReportAt = Long.MIN_VALUE;
    private long recoveredAt = Long.MIN_VALUE / 2;

    /** Creates a record without attempts for a worker of this incarnation. */
    WorkerUsage(final long incarnation) {
        this.incarnation = incarnation;
    }

    /**
     * Processes a report of the worker. A new incarnation, or a report after a silence, restarts the worker's slow start. A
     * newer report clears the counts of the attempts that it includes.
     */
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

    /** Counts an attempt that takes a slot of the worker. */
    void recordAttemptStart(final long now) {
        inFlight++;
        sendTimes.add(now);
    }

    /** Counts an attempt that has released its slot. */
    void recordAttemptEnd() {
        inFlight--;
        endedSinceReport++;
    }

    /** Ejects the worker until the given time: it gets no new attempts. */
    void ejectUntil(final long time) {
        ejectedUntil = time;
    }

    /** Returns whether no attempt of this gateway holds a slot of the worker. */
    boolean isUnused() {
        return inFlight == 0;
    }

    /** Returns the scorers' input about the worker. */
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
