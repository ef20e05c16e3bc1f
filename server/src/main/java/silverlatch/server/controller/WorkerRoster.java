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
import silverlatch.server.eventloop.Logs;
import silverlatch.util.Threads;
import silverlatch.wire.Codec;
import silverlatch.wire.Message;

/**
 * The workers last heard of, beside the ledger: after all have lost their power at once, tickets need not wait until each
 * worker has called again. It is no promise: what can't be written or read is left out, and a worker's next word goes first.
 */
final class WorkerRoster {
    private static final int HEAD = Long.BYTES;
    private static final int MOST = 4 << 20;
    private final Path file;
    private final ArrayBlockingQueue<List<WorkerReport>> ring = new ArrayBlockingQueue<>(1);

    WorkerRoster(final Path folder) {
        this.file = folder.resolve("workers");
    }

    /** What was written last, or nothing. */
    List<WorkerReport> read() {
        try {
            if (!Files.exists(file) || Files.size(file) > MOST) {
                return List.of();
            }
            final byte[] all = Files.readAllBytes(file);
            if (all.length < HEAD || ByteBuffer.wrap(all).getLong() != sum(all, HEAD)) {
                return List.of();
            }
            return new Codec().decode(java.util.Arrays.copyOfRange(all, HEAD, all.length), Message.MissingReports.class)
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
    boolean write(final List<WorkerReport> words) {
        return ring.offer(words);
    }

    private void run() {
        final Codec codec = new Codec();
        boolean told = false;
        while (true) {
            try {
                final byte[] body =
                        codec.encode(new Message.MissingReports(0, ring.take(), List.of(), List.of(), List.of()));
                final byte[] all = ByteBuffer.allocate(HEAD + body.length)
                        .putLong(sum(body, 0))
                        .put(body)
                        .array();
                WriteAheadLog.replaceFile(file, all);
                told = false;
            } catch (final IOException e) {
                if (!told) {
                    Logs.write(Event.ROSTER, "" + e.getMessage());
                }
                told = true;
            } catch (final InterruptedException e) {
                return;
            }
        }
    }

    private static long sum(final byte[] all, final int from) {
        final CRC32C crc = new CRC32C();
        crc.update(all, from, all.length - from);
        return crc.getValue();
    }
}
