package silverlatch.log;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import silverlatch.util.Lists;
import silverlatch.wire.Codec;

/**
 * The records recovered from the log of a data directory: those of the newest snapshot, if there is one, and of all batches
 * after it. Recovery also deletes older segments and snapshots whose deletion was interrupted.
 *
 * @param records     the snapshot and the records after it, in the order in which they were written
 * @param tornBytes   the number of bytes of a torn write that were truncated
 * @param lastSegment the number of the segment to append to; its file may not exist yet
 */
record LogRecovery(List<LogRecord> records, long tornBytes, long lastSegment) {
    private static final long FIRST_SEGMENT = 1;

    /**
     * Reads the log of a directory.
     *
     * @throws DamagedLogException if the log is corrupt or a segment is missing
     */
    static LogRecovery of(final Path folder) throws IOException {
        final Codec codec = Codec.forLog();
        final List<LogRecord> records = new ArrayList<>();
        final List<Long> snapshots = NumberedFiles.SNAPSHOT.numbers(folder);
        final long firstNeeded = snapshots.isEmpty() ? 0 : Lists.last(snapshots);
        if (!snapshots.isEmpty()) {
            records.add(readSnapshot(folder, firstNeeded, codec));
        }
        final List<Long> segments = neededSegments(folder, firstNeeded);
        final SegmentReader reader = new SegmentReader(codec, records);
        for (int i = 0; i < segments.size(); i++) {
            final long number = segments.get(i);
            reader.read(NumberedFiles.SEGMENT.file(folder, number), number, i == segments.size() - 1);
        }
        NumberedFiles.removeOlder(folder, firstNeeded);
        return new LogRecovery(records, reader.tornBytes(), segments.isEmpty() ? FIRST_SEGMENT : Lists.last(segments));
    }

    private static LogRecord.Snapshot readSnapshot(final Path folder, final long number, final Codec codec)
            throws IOException {
        try {
            return SnapshotFile.read(NumberedFiles.SNAPSHOT.file(folder, number), codec);
        } catch (final DamagedLogException damage) {
            throw new DamagedLogException("picture " + number + " is damaged", damage);
        }
    }

    /** Returns the numbers of the segments to read after the snapshot; throws if one of them is missing. */
    private static List<Long> neededSegments(final Path folder, final long firstNeeded) throws IOException {
        final List<Long> segments = NumberedFiles.SEGMENT.numbers(folder).stream()
                .filter(number -> number >= firstNeeded)
                .toList();
        for (int i = 1; i < segments.size(); i++) {
            if (segments.get(i) != segments.get(i - 1) + 1) {
                throw missing(segments.get(i) - 1);
            }
        }
        if (firstNeeded > 0 && (segments.isEmpty() || segments.get(0) != firstNeeded)) {
            throw missing(firstNeeded);
        }
        return segments;
    }

    private static DamagedLogException missing(final long number) {
        return new DamagedLogException("segment " + number + " is missing");
    }
}
