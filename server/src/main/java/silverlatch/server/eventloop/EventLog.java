package silverlatch.server.eventloop;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import silverlatch.node.Event;

/** Writes the numbered events of docs/log-events.md to the log. Callable from any thread. */
public final class EventLog {
    private static final Logger LOG = LoggerFactory.getLogger("silverlatch");

    private EventLog() {}

    /** Writes an event at level WARN or INFO, depending on the event. */
    public static void write(final Event event, final String message) {
        if (event.isWarning()) {
            LOG.warn("SL{} {} {}", event.number(), event, message);
        } else {
            LOG.info("SL{} {} {}", event.number(), event, message);
        }
    }

    /** Writes an event as an error, with the exception that caused it. */
    public static void write(final Event event, final String message, final Throwable cause) {
        LOG.error("SL{} {} {}", event.number(), event, message, cause);
    }
}
