package silverlatch.server.eventloop;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import silverlatch.node.Event;

/** Writes numbered events. */
public final class EventLog {
    private static final Logger LOG = LoggerFactory.getLogger("silverlatch");

    private EventLog() {}

    /** Writes one event. */
    public static void write(final Event event, final String message) {
        if (event.isWarning()) {
            LOG.warn("SL{} {} {}", event.number(), event, message);
        } else {
            LOG.info("SL{} {} {}", event.number(), event, message);
        }
    }

    /** Writes an event with the fault that caused it. */
    public static void write(final Event event, final String message, final Throwable cause) {
        LOG.error("SL{} {} {}", event.number(), event, message, cause);
    }
}
