package silverlatch.log;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import silverlatch.util.Lists;
import silverlatch.wire.Codec;

/**
 * What a data folder's log holds: the newest snapshot, if there is one, and all batches after it. Segments and snapshots
 * that an older write should have removed are removed now.
 *
 * @param records     the snapshot and the records after it, in the order in which they were written
 * @param tornBytes   how many bytes of a torn write were cut off
 * @param lastSegment the number of the segment to append to, which may not be there yet
 */
record LogRecovery(List<LogRecord> records, long tornBytes, long lastSegment) {
    private static final long FIRST_SEGMENT = 1;

    /**
     * Reads the log of a folder.
     *
     * @throws DamagedLogException if it can't be trusted
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

    /** The segments from the snapshot on; none may be missing among them. */
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
