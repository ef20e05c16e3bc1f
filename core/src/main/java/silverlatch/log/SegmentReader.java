package silverlatch.log;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import silverlatch.wire.Codec;

/**
 * Reads a segment of the log: frames that hold a batch each. A batch is written only after the last was synced, so a
 * torn write can only be at the end of the last segment: it is cut off. A bad frame before a sound one is damage.
 */
final class SegmentReader {
    private final Codec codec;
    private final List<LogRecord> records;
    private long tornBytes;

    /** A reader that adds to records. */
    SegmentReader(final Codec codec, final List<LogRecord> records) {
        this.codec = codec;
        this.records = records;
    }

    /** How many bytes of a torn write were cut off. */
    long tornBytes() {
        return tornBytes;
    }

    /**
     * Reads a segment, and cuts off a torn write at the end of the last one.
     *
     * @throws DamagedLogException if it holds something else than batches
     */
    void read(final Path file, final long number, final boolean last) throws IOException {
        final byte[] bytes = Files.readAllBytes(file);
        final List<byte[]> bodies = new ArrayList<>();
        final int end = readBodies(bytes, bodies);
        if (end < bytes.length && (!last || hasFrameAfter(bytes, end))) {
            throw new DamagedLogException("segment " + number + " is damaged at byte " + end);
        }
        for (final byte[] body : bodies) {
            records.addAll(LogFrame.decode(body, LogRecord.Batch.class, codec)
                    .orElseThrow(
                            () -> new DamagedLogException("segment " + number + " holds a batch that can't be read"))
                    .records());
        }
        if (end < bytes.length) {
            tornBytes = bytes.length - end;
            DurableFiles.truncate(file, end);
        }
    }

    /** Adds the bodies of the frames up to the first that isn't sound, and returns where that begins. */
    private static int readBodies(final byte[] bytes, final List<byte[]> bodies) {
        int offset = 0;
        Optional<ByteBuffer> body = LogFrame.bodyAt(bytes, offset);
        while (body.isPresent()) {
            final byte[] copy = new byte[body.get().remaining()];
            body.get().get(copy);
            bodies.add(copy);
            offset = body.get().position();
            body = LogFrame.bodyAt(bytes, offset);
        }
        return offset;
    }

    private static boolean hasFrameAfter(final byte[] bytes, final int offset) {
        for (int next = offset + 1; next < bytes.length; next++) {
            if (LogFrame.bodyAt(bytes, next).isPresent()) {
                return true;
            }
        }
        return false;
    }
}
