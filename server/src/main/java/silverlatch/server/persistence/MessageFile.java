package silverlatch.server.persistence;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Optional;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.zip.CRC32C;
import silverlatch.log.DurableFiles;
import silverlatch.node.Event;
import silverlatch.server.eventloop.EventLog;
import silverlatch.util.Threads;
import silverlatch.wire.Codec;
import silverlatch.wire.Message;

/**
 * A file with the last message that was handed to it: a CRC-32C of eight bytes and the encoded message. It is replaced as a whole by a
 * thread of its own, so that a slow disk holds up nobody; a failure to write is logged once until a write succeeds again.
 */
final class MessageFile<M extends Message> {
    private static final int HEADER_BYTES = Long.BYTES;
    private static final int MAX_FILE_BYTES = 16 << 20;
    private final Path file;
    private final Class<M> type;
    private final BlockingQueue<M> queue = new ArrayBlockingQueue<>(1);

    /** The file, which need not exist, and the type of its message. */
    MessageFile(final Path file, final Class<M> type) {
        this.file = file;
        this.type = type;
    }

    /** The message that was written last; empty where there is none or the file is damaged. */
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

    /** Starts the thread that writes. */
    void start() {
        Threads.startDaemon("writer-of-" + file.getFileName(), this::run);
    }

    /** Hands a message to the thread that writes; false while the one before waits for it. Any thread may call. */
    boolean offer(final M message) {
        return queue.offer(message);
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
                    EventLog.write(Event.ROSTER, file.getFileName() + ": " + failure.getMessage());
                }
                isFailureReported = true;
            } catch (final InterruptedException interrupted) {
                return;
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
