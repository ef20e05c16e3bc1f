package silverlatch.server.process;

import java.util.concurrent.Callable;
import silverlatch.node.Event;
import silverlatch.server.eventloop.EventLog;

/** The life of a process whose main job is one daemon. */
public final class DaemonProcess {
    private static final int EXIT_CANNOT_START = 3;

    private DaemonProcess() {}

    /** What the process runs. */
    public interface Daemon {
        /** Starts the threads; fails where an address or a file isn't to be had. */
        void start() throws Exception;

        /** Shuts down gracefully. Called by the thread of a shutdown hook. */
        void stop();
    }

    /** Makes a daemon, starts it, and waits until the process is told to stop; one that can't start ends the process with 3. */
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
