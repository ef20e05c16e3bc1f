package silverlatch.server.controller;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.locks.LockSupport;
import silverlatch.log.WriteAheadLog;
import silverlatch.node.Event;
import silverlatch.server.eventloop.EventLog;
import silverlatch.server.settings.Settings;

/** Opens a controller's write-ahead log when the process starts, on the main thread. */
public final class LogOpener {
    private static final long RETRY_PAUSE_NANOS = 200_000_000L;
    private static final int EXIT_UNUSABLE_LOG = 4;
    private final Path dataDirectory;
    private final boolean mayBootstrap;
    private final boolean moveDamagedLogAside;
    private boolean isUnavailableReported;

    private LogOpener(final Path dataDirectory, final boolean mayBootstrap, final boolean moveDamagedLogAside) {
        this.dataDirectory = dataDirectory;
        this.mayBootstrap = mayBootstrap;
        this.moveDamagedLogAside = moveDamagedLogAside;
    }

    /**
     * Opens the log in the data directory, if the settings name one. Retries while the disk can't be read or written. If the log is
     * damaged or has another format, the process exits with code 4.
     *
     * @param moveDamagedLogAside whether a damaged log is moved aside instead, so that the machine starts with an empty log and a new
     *     identity
     */
    public static Optional<WriteAheadLog.OpenResult.Success> open(
            final Settings settings, final boolean moveDamagedLogAside) {
        return settings.dataDirectory()
                .map(folder -> new LogOpener(Path.of(folder), settings.mayBootstrap(), moveDamagedLogAside).open());
    }

    private WriteAheadLog.OpenResult.Success open() {
        while (true) {
            switch (WriteAheadLog.open(dataDirectory, mayBootstrap)) {
                case WriteAheadLog.OpenResult.Unavailable unavailable -> awaitDisk(unavailable.reason());
                case WriteAheadLog.OpenResult.Damaged damaged -> {
                    EventLog.write(Event.DAMAGED, damaged.reason());
                    if (!moveDamagedLogAside || !moveAside()) {
                        System.exit(EXIT_UNUSABLE_LOG);
                    }
                }
                case WriteAheadLog.OpenResult.Unsupported unsupported -> {
                    EventLog.write(Event.LOG_FORMAT, unsupported.reason());
                    System.exit(EXIT_UNUSABLE_LOG);
                }
                case WriteAheadLog.OpenResult.Success opened -> {
                    EventLog.write(
                            Event.RECOVERED,
                            opened.records().size() + " records, " + opened.tornBytes()
                                    + " bytes of an incomplete last write truncated");
                    return opened;
                }
            }
        }
    }

    private void awaitDisk(final String reason) {
        if (!isUnavailableReported) {
            EventLog.write(Event.BARRED, reason);
        }
        isUnavailableReported = true;
        LockSupport.parkNanos(RETRY_PAUSE_NANOS);
    }

    private boolean moveAside() {
        try {
            WriteAheadLog.moveAside(dataDirectory);
            return true;
        } catch (final IOException failure) {
            EventLog.write(Event.BARRED, "the damaged log can't be moved aside: " + failure.getMessage());
            return false;
        }
    }
}
