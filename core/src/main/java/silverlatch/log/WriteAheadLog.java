package silverlatch.log;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import silverlatch.util.Lists;
import silverlatch.wire.Codec;

/**
 * The write-ahead log of one data folder: batches of records in segments, and a snapshot in a file of its own. What is
 * written together is one batch with one checksum, and the next batch is written only after the last was synced; so a
 * torn batch can only be the last one, and a bad batch before a good one is damage.
 *
 * <p>Not thread-safe: one thread writes. After a failed write the log must be opened again ({@link #reopen}).
 */
public final class WriteAheadLog {
    /** The format of the folder's files; raised whenever bytes of the version before would be read differently. */
    public static final int FORMAT_VERSION = 2;

    private static final long MAX_SEGMENT_BYTES = 4L << 20;
    private final Path folder;
    private final Codec codec = Codec.forLog();
    private FileChannel segment;
    private long segmentNumber;

    private WriteAheadLog(final Path folder, final FileChannel segment, final long segmentNumber) {
        this.folder = folder;
        this.segment = segment;
        this.segmentNumber = segmentNumber;
    }

    /** What opening a folder gave. */
    public sealed interface OpenResult {
        /**
         * The log can be written.
         *
         * @param log       the log
         * @param identity  the identity of the folder's machine
         * @param records   all that the log holds, the newest snapshot first
         * @param tornBytes how many bytes of a torn write were cut off
         * @param mayBootstrap  whether the folder was made to take part in a first founding
         */
        record Success(
                WriteAheadLog log, String identity, List<LogRecord> records, long tornBytes, boolean mayBootstrap)
                implements OpenResult {
            /** Copies the records. */
            public Success {
                records = List.copyOf(records);
            }
        }

        /** The folder can't be trusted. */
        record Damaged(String reason) implements OpenResult {}

        /** The disk can't be read or written now; what it holds may be sound. */
        record Unavailable(String reason) implements OpenResult {}

        /** The folder was written in another format and is left as it is; the reason says what to do. */
        record Unsupported(String reason) implements OpenResult {}
    }

    /** Opens a folder, and makes it when there is none; one made here may take part in a first founding. */
    public static OpenResult open(final Path folder) {
        return open(folder, true);
    }

    /**
     * Opens a folder, and makes it when there is none.
     *
     * @param mayBootstrap whether a folder made here may take part in a first founding
     */
    public static OpenResult open(final Path folder, final boolean mayBootstrap) {
        try {
            final DataFolder dataFolder = new DataFolder(folder);
            dataFolder.createIfAbsent(mayBootstrap);
            final String format = dataFolder.format();
            if (!format.equals(Integer.toString(FORMAT_VERSION))) {
                return new OpenResult.Unsupported(unsupportedReason(folder, format));
            }
            final String identity = dataFolder.identity();
            dataFolder.removePartialFiles();
            final LogRecovery recovery = LogRecovery.of(folder);
            return new OpenResult.Success(
                    openSegment(folder, recovery.lastSegment()),
                    identity,
                    recovery.records(),
                    recovery.tornBytes(),
                    dataFolder.mayBootstrap());
        } catch (final DamagedLogException damage) {
            return new OpenResult.Damaged(damage.getMessage());
        } catch (final IOException failure) {
            return unavailable(failure);
        }
    }

    private static WriteAheadLog openSegment(final Path folder, final long segmentNumber) throws IOException {
        final FileChannel segment = FileChannel.open(
                NumberedFiles.SEGMENT.file(folder, segmentNumber), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        segment.position(segment.size());
        DurableFiles.syncDirectory(folder);
        return new WriteAheadLog(folder, segment, segmentNumber);
    }

    private static String unsupportedReason(final Path folder, final String format) {
        return folder + " holds log format " + format + ", this program reads format " + FORMAT_VERSION
                + ": start the version that wrote it, or empty the folder, one machine at a time, and let the machine"
                + " join again as a new one";
    }

    private static OpenResult unavailable(final IOException failure) {
        return new OpenResult.Unavailable(failure.getClass().getSimpleName() + " " + failure.getMessage());
    }

    /**
     * Opens the folder again after a failed write. What the operating system still shows of a file whose sync failed
     * may not be on the disk, so the files that were last written are written anew and synced before they are read.
     */
    public OpenResult reopen() {
        try {
            segment.close();
        } catch (final IOException ignored) {
            // The descriptor is released all the same; what counts is read from the files below.
        }
        try {
            final DataFolder dataFolder = new DataFolder(folder);
            if (!dataFolder.hasIdentity()) {
                return new OpenResult.Unavailable("the folder has lost its identity");
            }
            dataFolder.removePartialFiles();
            rewriteNewest(NumberedFiles.SNAPSHOT);
            rewriteNewest(NumberedFiles.SEGMENT);
            return open(folder, false);
        } catch (final IOException failure) {
            return unavailable(failure);
        }
    }

    private void rewriteNewest(final NumberedFiles files) throws IOException {
        final List<Long> numbers = files.numbers(folder);
        if (!numbers.isEmpty()) {
            final Path newest = files.file(folder, Lists.last(numbers));
            DurableFiles.replace(newest, Files.readAllBytes(newest));
        }
    }

    /**
     * Writes records as one batch and syncs them. A snapshot among them starts a new segment, in which the records after
     * it come, and removes the older files; of several, only the last counts.
     *
     * @throws IOException if the disk fails; what was written of the records is not known then
     */
    public void write(final List<LogRecord> records) throws IOException {
        final List<LogRecord> beforeSnapshot = new ArrayList<>();
        final List<LogRecord> afterSnapshot = new ArrayList<>();
        Optional<LogRecord.Snapshot> newest = Optional.empty();
        for (final LogRecord written : records) {
            if (written instanceof LogRecord.Snapshot snapshot) {
                newest = Optional.of(snapshot);
                afterSnapshot.clear();
            } else if (newest.isEmpty()) {
                beforeSnapshot.add(written);
            } else {
                afterSnapshot.add(written);
            }
        }
        writeBatch(beforeSnapshot);
        if (newest.isPresent()) {
            startSegment();
            writeBatch(afterSnapshot);
            writeSnapshot(newest.get());
        } else if (segment.position() > MAX_SEGMENT_BYTES) {
            startSegment();
        }
    }

    private void writeBatch(final List<LogRecord> records) throws IOException {
        if (!records.isEmpty()) {
            DurableFiles.writeAll(segment, LogFrame.encode(new LogRecord.Batch(records), codec));
            segment.force(false);
        }
    }

    private void startSegment() throws IOException {
        segment.close();
        segmentNumber++;
        segment = FileChannel.open(
                NumberedFiles.SEGMENT.file(folder, segmentNumber),
                StandardOpenOption.CREATE_NEW,
                StandardOpenOption.WRITE);
        segment.force(true);
        DurableFiles.syncDirectory(folder);
    }

    private void writeSnapshot(final LogRecord.Snapshot snapshot) throws IOException {
        DurableFiles.replace(
                NumberedFiles.SNAPSHOT.file(folder, segmentNumber), file -> SnapshotFile.write(file, snapshot, codec));
        NumberedFiles.removeOlder(folder, segmentNumber);
    }

    /** Closes the files. */
    public void close() throws IOException {
        segment.close();
    }

    /** Moves a damaged folder's files aside, in place of those moved before; the folder is then a new machine's. */
    public static void moveAside(final Path folder) throws IOException {
        new DataFolder(folder).moveAside();
    }
}
