package silverlatch.server.eventloop;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import silverlatch.node.Event;

/** Writes numbered events. */
public final class Logs {
    private static final Logger LOG = LoggerFactory.getLogger("silverlatch");

    private Logs() {}

    /** Writes one event. */
    public static void write(final Event event, final String text) {
        if (event.isWarning()) {
            LOG.warn("SL{} {} {}", event.number(), event, text);
        } else {
            LOG.info("SL{} {} {}", event.number(), event, text);
        }
    }

    /** Writes an event with the fault that caused it. */
    public static void write(final Event event, final String text, final Throwable fault) {
        LOG.error("SL{} {} {}", event.number(), event, text, fault);
    }
}
