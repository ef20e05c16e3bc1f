package silverlatch.log;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import silverlatch.state.Entry;
import silverlatch.wire.Codec;

/**
 * Reads and writes snapshot files. A file consists of one frame with the snapshot without its entries, frames with parts of
 * the entries, and an empty part as end marker, so neither writing nor reading holds the encoded bytes of all entries in
 * memory at once.
 */
final class SnapshotFile {
    private static final long PART_BYTES = 1L << 20;

    private SnapshotFile() {}

    /** Writes a snapshot without syncing it to disk. */
    static void write(final FileChannel file, final LogRecord.Snapshot snapshot, final Codec codec) throws IOException {
        writeFrame(file, snapshot.withEntries(List.of()), codec);
        final List<Entry> part = new ArrayList<>();
        long partBytes = 0;
        for (final Entry entry : snapshot.entries()) {
            part.add(entry);
            partBytes += entry.estimatedBytes();
            if (partBytes > PART_BYTES) {
                writeFrame(file, new LogRecord.SnapshotPart(part), codec);
                part.clear();
                partBytes = 0;
            }
        }
        if (!part.isEmpty()) {
            writeFrame(file, new LogRecord.SnapshotPart(part), codec);
        }
        writeFrame(file, new LogRecord.SnapshotPart(List.of()), codec);
    }

    private static void writeFrame(final FileChannel file, final LogRecord record, final Codec codec)
            throws IOException {
        DurableFiles.writeAll(file, LogFrame.encode(record, codec));
    }

    /**
     * Reads a snapshot.
     *
     * @throws DamagedLogException if the file is truncated, corrupt or followed by other bytes
     */
    static LogRecord.Snapshot read(final Path file, final Codec codec) throws IOException {
        try (DataInputStream input = new DataInputStream(new BufferedInputStream(Files.newInputStream(file)))) {
            final LogRecord.Snapshot snapshot = next(input, LogRecord.Snapshot.class, codec);
            final List<Entry> entries = new ArrayList<>();
            List<Entry> part = next(input, LogRecord.SnapshotPart.class, codec).entries();
            while (!part.isEmpty()) {
                entries.addAll(part);
                part = next(input, LogRecord.SnapshotPart.class, codec).entries();
            }
            if (input.read() >= 0) {
                throw new DamagedLogException("the snapshot file has bytes after the end marker");
            }
            return snapshot.withEntries(entries);
        }
    }

    private static <T extends LogRecord> T next(final DataInputStream input, final Class<T> type, final Codec codec)
            throws IOException {
        return LogFrame.read(input, codec)
                .filter(type::isInstance)
                .map(type::cast)
                .orElseThrow(() -> new DamagedLogException("no valid " + type.getSimpleName() + " follows"));
    }
}
