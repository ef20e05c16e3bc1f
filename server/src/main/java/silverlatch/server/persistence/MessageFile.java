package silverlatch.server.persistence;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Optional;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.zip.CRC32C;
import silverlatch.log.DurableFiles;
import silverlatch.node.Event;
import silverlatch.server.eventloop.EventLog;
import silverlatch.util.Threads;
import silverlatch.wire.Codec;
import silverlatch.wire.Message;

/**
 * A file that holds the last written message: a CRC-32C stored in eight bytes, followed by the encoded message. The file is replaced as a
 * whole on its own thread, so that a slow disk doesn't block callers. A write that fails is repeated, unless a newer message is queued;
 * further failures aren't logged until a write succeeds.
 */
final class MessageFile<M extends Message> {
    private static final int HEADER_BYTES = Long.BYTES;
    private static final int MAX_FILE_BYTES = 16 << 20;
    private static final long RETRY_MS = 200;
    private final Path file;
    private final Class<M> type;
    private final BlockingQueue<PendingWrite<M>> queue = new ArrayBlockingQueue<>(1);

    /** A message to write, and what is to be run, on the file's thread, once it is durable. */
    private record PendingWrite<M>(M message, Runnable onWritten) {}

    /** Creates an object for a file, which need not exist yet, with the type of its message. */
    MessageFile(final Path file, final Class<M> type) {
        this.file = file;
        this.type = type;
    }

    /** Returns the message that was written last; empty if there is none or the file is damaged, too large or unreadable. */
    Optional<M> read() {
        try {
            if (!Files.exists(file) || Files.size(file) > MAX_FILE_BYTES) {
                return Optional.empty();
            }
            return decode(Files.readAllBytes(file));
        } catch (final IOException failure) {
            return Optional.empty();
        }
    }

    /** Starts the thread that writes the file. */
    void start() {
        Threads.startDaemon("writer-of-" + file.getFileName(), this::run);
    }

    /** Queues a message for writing; returns false if the previous message is still queued. Callable from any thread; doesn't block. */
    boolean offer(final M message) {
        return offer(message, () -> {});
    }

    /** Queues a message like {@link #offer(Message)}, and runs a task on the file's thread once the message is durable. */
    boolean offer(final M message, final Runnable onWritten) {
        return queue.offer(new PendingWrite<>(message, onWritten));
    }

    private void run() {
        final Codec codec = new Codec();
        try {
            while (true) {
                writeUntilDurable(codec, queue.take());
            }
        } catch (final InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** Writes a message, or a newer one that is queued after a failure. */
    private void writeUntilDurable(final Codec codec, final PendingWrite<M> first) throws InterruptedException {
        PendingWrite<M> write = first;
        boolean isFailureReported = false;
        while (true) {
            try {
                DurableFiles.replace(file, encode(codec, write.message()));
                write.onWritten().run();
                return;
            } catch (final IOException failure) {
                if (!isFailureReported) {
                    EventLog.write(Event.ROSTER, file.getFileName() + " can't be written: " + failure.getMessage());
                }
                isFailureReported = true;
                write = Optional.ofNullable(queue.poll(RETRY_MS, TimeUnit.MILLISECONDS))
                        .orElse(write);
            }
        }
    }

    private byte[] encode(final Codec codec, final M message) {
        final byte[] body = codec.encode(message);
        return ByteBuffer.allocate(HEADER_BYTES + body.length)
                .putLong(checksum(body, 0))
                .put(body)
                .array();
    }

    private Optional<M> decode(final byte[] bytes) {
        if (bytes.length < HEADER_BYTES || ByteBuffer.wrap(bytes).getLong() != checksum(bytes, HEADER_BYTES)) {
            return Optional.empty();
        }
        final byte[] body = Arrays.copyOfRange(bytes, HEADER_BYTES, bytes.length);
        return new Codec().decode(body, type) instanceof Codec.DecodeResult.Decoded<M> decoded
                ? Optional.of(decoded.value())
                : Optional.empty();
    }

    private static long checksum(final byte[] bytes, final int from) {
        final CRC32C crc = new CRC32C();
        crc.update(bytes, from, bytes.length - from);
        return crc.getValue();
    }
}
