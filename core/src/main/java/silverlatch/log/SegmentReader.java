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
 * Reads log segments, which consist of frames with one batch each. A batch is written only after the previous one was
 * synced, so a torn write can occur only at the end of the last segment, where it is truncated. An invalid frame anywhere
 * else, or one followed by a valid frame, is corruption.
 */
final class SegmentReader {
    private final Codec codec;
    private final List<LogRecord> records;
    private long tornBytes;

    /** Creates a reader that appends the records it reads to a list. */
    SegmentReader(final Codec codec, final List<LogRecord> records) {
        this.codec = codec;
        this.records = records;
    }

    /** Returns the number of bytes of a torn write that were truncated. */
    long tornBytes() {
        return tornBytes;
    }

    /**
     * Reads a segment and, if it is the last one, truncates a torn write at its end.
     *
     * @throws DamagedLogException if the segment holds anything other than batches
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
                            () -> new DamagedLogException("segment " + number + " holds a batch that can't be decoded"))
                    .records());
        }
        if (end < bytes.length) {
            tornBytes = bytes.length - end;
            DurableFiles.truncate(file, end);
        }
    }

    /** Adds the bodies of the frames before the first invalid frame, and returns the offset where the valid frames end. */
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
