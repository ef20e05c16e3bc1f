package silverlatch.server.controller;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.zip.CRC32C;
import silverlatch.gossip.Gossip;
import silverlatch.gossip.WorkerReport;
import silverlatch.log.DurableFiles;
import silverlatch.node.Event;
import silverlatch.server.eventloop.EventLog;
import silverlatch.util.Threads;
import silverlatch.wire.Codec;
import silverlatch.wire.GossipMessage;

/**
 * The file of the workers last heard of, beside the log: after all machines have lost their power at once, requests need not wait
 * until each worker has announced itself again. It is no promise: what can't be written or read is left out, and a worker's
 * next report supersedes it. The file is a CRC-32C of eight bytes and the encoded reports.
 */
final class WorkerRoster {
    private static final int HEADER_BYTES = Long.BYTES;
    private static final int MAX_FILE_BYTES = 4 << 20;
    private final Path file;
    private final BlockingQueue<List<WorkerReport>> queue = new ArrayBlockingQueue<>(1);

    /** Owned by the event loop. */
    private long savedDigest;

    WorkerRoster(final Path folder) {
        this.file = folder.resolve("workers");
    }

    /** The reports that were written last; empty where there are none or the file is damaged. */
    List<WorkerReport> read() {
        try {
            if (!Files.exists(file) || Files.size(file) > MAX_FILE_BYTES) {
                return List.of();
            }
            return decode(Files.readAllBytes(file));
        } catch (final IOException failure) {
            return List.of();
        }
    }

    /** Starts the thread that writes. */
    void start() {
        Threads.startDaemon("worker-roster", this::run);
    }

    /** Hands the active reports over where they changed since, unless the ones before are still being written. */
    void saveIfChanged(final Gossip gossip, final long now) {
        if (savedDigest != gossip.reportsDigest() && write(gossip.activeReports(now))) {
            savedDigest = gossip.reportsDigest();
        }
    }

    /** Hands reports to the thread that writes; false while the ones before wait for it. */
    boolean write(final List<WorkerReport> reports) {
        return queue.offer(reports);
    }

    private void run() {
        final Codec codec = new Codec();
        boolean isFailureReported = false;
        while (true) {
            try {
                DurableFiles.replace(file, encode(codec, queue.take()));
                isFailureReported = false;
            } catch (final IOException failure) {
                if (!isFailureReported) {
                    EventLog.write(Event.ROSTER, "" + failure.getMessage());
                }
                isFailureReported = true;
            } catch (final InterruptedException interrupted) {
                return;
            }
        }
    }

    private static byte[] encode(final Codec codec, final List<WorkerReport> reports) {
        final byte[] body = codec.encode(new GossipMessage.MissingReports(0, reports, List.of(), List.of(), List.of()));
        return ByteBuffer.allocate(HEADER_BYTES + body.length)
                .putLong(checksum(body, 0))
                .put(body)
                .array();
    }

    private static List<WorkerReport> decode(final byte[] bytes) {
        if (bytes.length < HEADER_BYTES || ByteBuffer.wrap(bytes).getLong() != checksum(bytes, HEADER_BYTES)) {
            return List.of();
        }
        final byte[] body = Arrays.copyOfRange(bytes, HEADER_BYTES, bytes.length);
        return new Codec().decode(body, GossipMessage.MissingReports.class)
                        instanceof Codec.DecodeResult.Decoded<GossipMessage.MissingReports> decoded
                ? decoded.value().reports()
                : List.of();
    }

    private static long checksum(final byte[] bytes, final int from) {
        final CRC32C crc = new CRC32C();
        crc.update(bytes, from, bytes.length - from);
        return crc.getValue();
    }
}
