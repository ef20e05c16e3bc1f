package silverlatch.server.process;

import java.util.concurrent.Callable;
import silverlatch.node.Event;
import silverlatch.server.eventloop.EventLog;

/** Runs a process that consists of one daemon. */
public final class DaemonProcess {
    private static final int EXIT_CANNOT_START = 3;

    private DaemonProcess() {}

    /** A long-running service. */
    public interface Daemon {
        /** Starts the daemon's threads. Throws an exception if an address can't be bound or a file can't be opened. */
        void start() throws Exception;

        /** Shuts the daemon down gracefully. Called on the thread of a shutdown hook. */
        void stop();
    }

    /**
     * Creates and starts a daemon, and blocks until the process is terminated. If the daemon can't start, halts the process with exit
     * code 3.
     */
    public static void run(final String program, final Callable<? extends Daemon> factory) {
        try {
            final Daemon daemon = factory.call();
            Runtime.getRuntime().addShutdownHook(new Thread(daemon::stop, "stop"));
            daemon.start();
            Thread.currentThread().join();
        } catch (final Exception failure) {
            EventLog.write(Event.FAULT, program + " can't start", failure);
            Runtime.getRuntime().halt(EXIT_CANNOT_START);
        }
    }
}
