package silverlatch.node;

import java.util.List;
import silverlatch.gossip.WorkerReport;
import silverlatch.log.LogRecord;
import silverlatch.wire.Message;

/**
 * An action that the event-driven core of a node requests from its caller. The core does no input or output itself:
 * the caller performs the effects in order, and reports their outcomes by calling {@link Node}.
 */
public sealed interface Effect {
    /**
     * Send a message.
     *
     * @param to host and port of the receiving node
     * @param message the message
     */
    record Send(String to, Message message) implements Effect {}

    /**
     * Append records to the log and sync them, then call {@link Node#onPersisted} with the token.
     *
     * @param token identifies this write
     * @param records the records to append
     */
    record Persist(long token, List<LogRecord> records) implements Effect {}

    /**
     * Replace the saved worker reports by these, durably, then call {@link Node#onReportsSaved} with the token. A write
     * that fails must be repeated.
     *
     * @param token identifies this write
     * @param reports the reports to read back after a restart
     */
    record SaveReports(long token, List<WorkerReport> reports) implements Effect {
        /** Copies the reports. */
        public SaveReports {
            reports = List.copyOf(reports);
        }
    }

    /**
     * Respond to the caller of {@link Node#submit}, {@link Node#read} or {@link Node#confirmReport}.
     *
     * @param token the token of that call
     * @param response a {@link silverlatch.state.CommandResult}, a {@link
     *                 silverlatch.replication.ChainClient.ReadResult} or a Boolean, respectively
     */
    record Respond(long token, Object response) implements Effect {}

    /**
     * Write an event to the event log.
     *
     * @param event the event
     * @param text a human-readable description
     */
    record Log(Event event, String text) implements Effect {}
}
