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
 * The write-ahead log of one data directory: batches of records in segments, and a snapshot in a separate file. Records
 * written together form one batch with one checksum, and the next batch is written only after the previous one was synced.
 * So only the last batch can be torn, and an invalid batch before a valid one means corruption.
 *
 * <p>Not thread-safe: one thread writes. After a failed write the log must be reopened ({@link #reopen}).
 */
public final class WriteAheadLog {
    /** The format version of the directory's files; incremented whenever files of the previous version would be misread. */
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

    /** The result of opening a data directory. */
    public sealed interface OpenResult {
        /**
         * The log was recovered and can be written.
         *
         * @param log          the log
         * @param identity     the identity of the machine that owns the directory
         * @param records      all recovered records; the newest snapshot, if any, comes first
         * @param tornBytes    the number of bytes of a torn write that were truncated
         * @param mayBootstrap whether the machine may take part in bootstrapping a new fleet
         */
        record Success(
                WriteAheadLog log, String identity, List<LogRecord> records, long tornBytes, boolean mayBootstrap)
                implements OpenResult {
            /** Copies the records. */
            public Success {
                records = List.copyOf(records);
            }
        }

        /** The directory's content is corrupt. */
        record Damaged(String reason) implements OpenResult {}

        /** The disk can't be read or written at the moment; its content may be intact. */
        record Unavailable(String reason) implements OpenResult {}

        /** The directory has another format version and was not modified; the reason says what to do. */
        record Unsupported(String reason) implements OpenResult {}
    }

    /** Opens a directory, and creates it if it is absent; the machine of a new one may take part in bootstrapping a fleet. */
    public static OpenResult open(final Path folder) {
        return open(folder, true);
    }

    /**
     * Opens a directory, and creates it if it is absent.
     *
     * @param mayBootstrap whether the machine of a directory created here may take part in bootstrapping a new fleet
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
     * Reopens the directory after a failed write. The page cache may still hold data of a file whose sync failed although
     * it never reached the disk, so the newest segment and snapshot are rewritten and synced before they are read.
     */
    public OpenResult reopen() {
        try {
            segment.close();
        } catch (final IOException ignored) {
            // The file descriptor is released even if close fails, and the content is read again from the files below.
        }
        try {
            final DataFolder dataFolder = new DataFolder(folder);
            if (!dataFolder.hasIdentity()) {
                return new OpenResult.Unavailable("the identity file of the data directory is missing");
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
     * Writes records and syncs them. Records without a snapshot among them form one batch. A snapshot starts a new
     * segment, which receives the records after it, and older files are deleted; if there are several snapshots, only the
     * last one is written.
     *
     * @throws IOException if the disk fails; it is then unknown which of the records are on the disk
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

    /**
     * Moves the files of a corrupt directory into its subdirectory {@code damaged}, replacing those moved there earlier. The
     * next open creates a new identity, so the machine joins as a new one.
     */
    public static void moveAside(final Path folder) throws IOException {
        new DataFolder(folder).moveAside();
    }
}
