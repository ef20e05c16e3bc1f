package silverlatch.simulation.sim;

import java.util.List;
import java.util.Optional;
import silverlatch.log.LogRecord;
import silverlatch.node.Effect;
import silverlatch.node.Node;
import silverlatch.replication.Replica;

/** Writes a node's log to its simulated disk, and opens it again after a failed write. */
final class LogWriter {
    private static final long REOPEN_INTERVAL = 1_000_000L;
    private final World world;
    private final SimulatedNode host;
    private final SimulatedDisk disk;
    private boolean reopening;

    LogWriter(final World world, final SimulatedNode host, final SimulatedDisk disk) {
        this.world = world;
        this.host = host;
        this.disk = disk;
    }

    /** The power goes, and the process with it. */
    void losePower() {
        reopening = false;
        disk.losePower();
    }

    /** Writes and syncs; the node is told of success or failure, if its process lives so long. */
    void write(final Effect.Persist write) {
        final long writtenIn = host.generation();
        disk.write(
                write,
                token -> {
                    if (writtenIn == host.generation()) {
                        if (write.records().stream().anyMatch(LogRecord.Appended.class::isInstance)) {
                            host.process().ifPresent(this::reportSync);
                        }
                        host.executeOnNode(node -> node.onPersisted(token, host.now()));
                    }
                },
                reason -> host.executeOnNode(node -> {
                    node.onDiskFailed(reason, host.now());
                    reopenLater(writtenIn);
                }));
    }

    /** Opens the log again each second after a failed write, until the disk takes writes. */
    private void reopenLater(final long failedIn) {
        if (reopening) {
            return;
        }
        reopening = true;
        world.scheduler().schedule(REOPEN_INTERVAL, () -> {
            reopening = false;
            if (failedIn != host.generation()) {
                return;
            }
            if (disk.full()) {
                reopenLater(failedIn);
                return;
            }
            final List<LogRecord> records = disk.reopen();
            host.executeOnNode(node -> node.onDiskRecovered(records, host.now()));
        });
    }

    private void reportSync(final Node node) {
        if (isOwn(node.view().head())) {
            world.disturbances().onPointReached(InjectionPoint.HEAD_SYNCED, host);
        } else if (isOwn(node.view().tail())) {
            world.disturbances().onPointReached(InjectionPoint.TAIL_SYNCED, host);
        }
    }

    private boolean isOwn(final Optional<Replica> replica) {
        return replica.filter(r -> r.id().equals(disk.identity())).isPresent();
    }
}
