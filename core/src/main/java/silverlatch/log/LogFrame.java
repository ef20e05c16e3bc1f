package silverlatch.log;

import java.io.DataInputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.zip.CRC32C;
import silverlatch.wire.Codec;

/**
 * Encodes and decodes the frame in which a record is stored in a file: a magic number of 8 bytes, the size of the encoded
 * record and its CRC-32C of 4 bytes each, and the record as encoded by the codec. All numbers are big-endian.
 */
final class LogFrame {
    private static final long MAGIC = 0x5349_4C56_4C41_5443L;
    private static final int HEADER_BYTES = Long.BYTES + 2 * Integer.BYTES;
    private static final int MAX_RECORD_BYTES = 256 << 20;

    private LogFrame() {}

    /** Returns the encoded frame of a record. */
    static byte[] encode(final LogRecord record, final Codec codec) {
        final byte[] body = codec.encode(record, MAX_RECORD_BYTES);
        return ByteBuffer.allocate(HEADER_BYTES + body.length)
                .putLong(MAGIC)
                .putInt(body.length)
                .putInt(checksum(body, 0, body.length))
                .put(body)
                .array();
    }

    /** Reads the next frame and returns its record; empty if the frame is incomplete, corrupt or can't be decoded. */
    static Optional<LogRecord> read(final DataInputStream input, final Codec codec) throws IOException {
        final byte[] header = input.readNBytes(HEADER_BYTES);
        if (header.length < HEADER_BYTES) {
            return Optional.empty();
        }
        final ByteBuffer fields = ByteBuffer.wrap(header);
        final long magic = fields.getLong();
        final int size = fields.getInt();
        if (magic != MAGIC || size < 0 || size > MAX_RECORD_BYTES) {
            return Optional.empty();
        }
        final byte[] body = input.readNBytes(size);
        if (body.length < size || checksum(body, 0, size) != fields.getInt()) {
            return Optional.empty();
        }
        return decode(body, LogRecord.class, codec);
    }

    /** Returns the record of a frame's body; empty if it can't be decoded as the given type. */
    static <T extends LogRecord> Optional<T> decode(final byte[] body, final Class<T> type, final Codec codec) {
        return codec.decode(body, type) instanceof Codec.DecodeResult.Decoded<T> decoded
                ? Optional.of(decoded.value())
                : Optional.empty();
    }

    /** Returns the body of the frame that begins at an offset; empty if no complete frame with a valid checksum begins there. */
    static Optional<ByteBuffer> bodyAt(final byte[] bytes, final int offset) {
        if (offset + HEADER_BYTES > bytes.length) {
            return Optional.empty();
        }
        final ByteBuffer header = ByteBuffer.wrap(bytes, offset, HEADER_BYTES);
        if (header.getLong() != MAGIC) {
            return Optional.empty();
        }
        final int size = header.getInt();
        final int start = offset + HEADER_BYTES;
        return size >= 0 && size <= bytes.length - start && header.getInt() == checksum(bytes, start, size)
                ? Optional.of(ByteBuffer.wrap(bytes, start, size))
                : Optional.empty();
    }

    private static int checksum(final byte[] bytes, final int offset, final int size) {
        final CRC32C crc = new CRC32C();
        crc.update(bytes, offset, size);
        return (int) crc.getValue();
    }
}
