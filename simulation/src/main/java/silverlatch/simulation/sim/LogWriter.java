package silverlatch.simulation.sim;

import java.util.List;
import java.util.Optional;
import silverlatch.log.LogRecord;
import silverlatch.node.Effect;
import silverlatch.node.Node;
import silverlatch.replication.Replica;

/** Writes a node's log to its simulated disk, and reopens the log after a failed write. Durations are microseconds. */
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

    /** Simulates a power loss, which also ends the process. */
    void losePower() {
        reopening = false;
        disk.losePower();
    }

    /** Writes and syncs records; notifies the node of success or failure unless its process ends first. */
    void write(final Effect.Persist write) {
        final long writeGeneration = host.generation();
        disk.write(
                write,
                token -> {
                    if (writeGeneration == host.generation()) {
                        if (write.records().stream().anyMatch(LogRecord.Appended.class::isInstance)) {
                            host.process().ifPresent(this::reportSync);
                        }
                        host.executeOnNode(node -> node.onPersisted(token, host.now()));
                    }
                },
                reason -> host.executeOnNode(node -> {
                    node.onDiskFailed(reason, host.now());
                    reopenLater(writeGeneration);
                }));
    }

    /** Tries to reopen the log each second after a failed write, until the disk accepts writes again. */
    private void reopenLater(final long failedGeneration) {
        if (reopening) {
            return;
        }
        reopening = true;
        world.scheduler().schedule(REOPEN_INTERVAL, () -> {
            reopening = false;
            if (failedGeneration != host.generation()) {
                return;
            }
            if (disk.isFull()) {
                reopenLater(failedGeneration);
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
