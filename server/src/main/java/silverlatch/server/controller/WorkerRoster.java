package silverlatch.server.controller;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.zip.CRC32C;
import silverlatch.gossip.WorkerReport;
import silverlatch.log.WriteAheadLog;
import silverlatch.node.Event;
import silverlatch.server.eventloop.EventLog;
import silverlatch.util.Threads;
import silverlatch.wire.Codec;
import silverlatch.wire.Message;

/**
 * The workers last heard of, beside the ledger: after all have lost their power at once, tickets need not wait until each
 * worker has called again. It is no promise: what can't be written or read is left out, and a worker's next word goes first.
 */
final class WorkerRoster {
    private static final int HEADER_BYTES = Long.BYTES;
    private static final int MAX_FILE_BYTES = 4 << 20;
    private final Path file;
    private final ArrayBlockingQueue<List<WorkerReport>> queue = new ArrayBlockingQueue<>(1);

    WorkerRoster(final Path folder) {
        this.file = folder.resolve("workers");
    }

    /** What was written last, or nothing. */
    List<WorkerReport> read() {
        try {
            if (!Files.exists(file) || Files.size(file) > MAX_FILE_BYTES) {
                return List.of();
            }
            final byte[] bytes = Files.readAllBytes(file);
            if (bytes.length < HEADER_BYTES || ByteBuffer.wrap(bytes).getLong() != checksum(bytes, HEADER_BYTES)) {
                return List.of();
            }
            return new Codec()
                                    .decode(
                                            java.util.Arrays.copyOfRange(bytes, HEADER_BYTES, bytes.length),
                                            Message.MissingReports.class)
                            instanceof Codec.DecodeResult.Decoded<Message.MissingReports> good
                    ? good.value().reports()
                    : List.of();
        } catch (final IOException e) {
            return List.of();
        }
    }

    /** Starts to write what is handed over. */
    void start() {
        Threads.startDaemon("roster", this::run);
    }

    /** Takes the newest words; false when the last ones are still being written. */
    boolean write(final List<WorkerReport> reports) {
        return queue.offer(reports);
    }

    private void run() {
        final Codec codec = new Codec();
        boolean isReported = false;
        while (true) {
            try {
                final byte[] body =
                        codec.encode(new Message.MissingReports(0, queue.take(), List.of(), List.of(), List.of()));
                final byte[] bytes = ByteBuffer.allocate(HEADER_BYTES + body.length)
                        .putLong(checksum(body, 0))
                        .put(body)
                        .array();
                WriteAheadLog.replaceFile(file, bytes);
                isReported = false;
            } catch (final IOException e) {
                if (!isReported) {
                    EventLog.write(Event.ROSTER, "" + e.getMessage());
                }
                isReported = true;
            } catch (final InterruptedException e) {
                return;
            }
        }
    }

    private static long checksum(final byte[] bytes, final int from) {
        final CRC32C crc = new CRC32C();
        crc.update(bytes, from, bytes.length - from);
        return crc.getValue();
    }
}
