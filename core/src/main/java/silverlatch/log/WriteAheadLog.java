package silverlatch.log;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import java.util.zip.CRC32C;
import silverlatch.state.Entry;
import silverlatch.util.Lists;
import silverlatch.wire.Codec;

/**
 * The ledger of one data folder: a log in segments with pictures beside it. What is written together is one batch
 * with one checksum, and the next batch is written only after the last was synced; so a torn batch can only be the
 * last one, and a bad batch before a good one is damage.
 */
public final class WriteAheadLog {
    private static final long MAGIC = 0x5349_4C56_4C41_5443L;
    private static final int HEADER_BYTES = Long.BYTES + 2 * Integer.BYTES;
    private static final int MAX_RECORD_BYTES = 256 << 20;
    private static final String FOUNDER_FILE = "founder";
    private static final String IDENTITY_FILE = "identity";
    private static final String FORMAT_FILE = "format";
    private static final String PART_SUFFIX = ".part";
    private static final Pattern PART_FILE_NAME =
            Pattern.compile("(identity|format|founder|(segment|picture)-\\d{12})\\.part");

    /** The format of the folder's files; raised whenever bytes of the version before would be read differently. */
    public static final int FORMAT_VERSION = 2;

    private static final long MAX_SEGMENT_BYTES = 4L << 20;
    private static final long SNAPSHOT_PART_BYTES = 1L << 20;
    private final Path folder;
    private final Codec codec = Codec.forLog();
    private FileChannel channel;
    private long segmentNumber;

    private WriteAheadLog(final Path folder, final FileChannel channel, final long segmentNumber) {
        this.folder = folder;
        this.channel = channel;
        this.segmentNumber = segmentNumber;
    }

    /** What opening a folder gave. */
    public sealed interface OpenResult {
        /**
         * The ledger, its machine's identity, all that it held, how many bytes of a torn tail were cut off, and whether
         * the folder was made to take part in a first founding.
         */
        record Success(WriteAheadLog log, String identity, List<LogRecord> records, long tornBytes, boolean mayFound)
                implements OpenResult {
            /** Copies the notes. */
            public Success {
                records = List.copyOf(records);
            }
        }

        /** It can't be trusted. */
        record Damaged(String reason) implements OpenResult {}

        /** The disk can't be read or written now; what it holds may be sound. */
        record Unavailable(String reason) implements OpenResult {}

        /** It was written in another format and is left as it is; the text says what to do. */
        record Unsupported(String reason) implements OpenResult {}
    }

    /** Opens a folder, and makes it when there is none; one made here may take part in a first founding. */
    public static OpenResult open(final Path folder) {
        return open(folder, true);
    }

    /** Opens a folder, and makes it when there is none; one made here may take part in a first founding if it is to. */
    public static OpenResult open(final Path folder, final boolean mayFound) {
        try {
            if (!Files.isDirectory(folder)) {
                Files.createDirectories(folder);
                syncFolder(folder.toAbsolutePath().getParent());
            }
            final Path identityFile = folder.resolve(IDENTITY_FILE);
            if (!Files.exists(identityFile)) {
                final byte[] randomBytes = new byte[8];
                new SecureRandom().nextBytes(randomBytes);
                replaceFile(
                        folder.resolve(FORMAT_FILE),
                        Integer.toString(FORMAT_VERSION).getBytes(StandardCharsets.US_ASCII));
                if (mayFound) {
                    replaceFile(folder.resolve(FOUNDER_FILE), new byte[0]);
                }
                replaceFile(identityFile, HexFormat.of().formatHex(randomBytes).getBytes(StandardCharsets.US_ASCII));
            }
            final String version = Files.exists(folder.resolve(FORMAT_FILE))
                    ? Files.readString(folder.resolve(FORMAT_FILE)).strip()
                    : "1";
            if (!version.equals(Integer.toString(FORMAT_VERSION))) {
                return new OpenResult.Unsupported(unsupported(folder, version));
            }
            final String identity = Files.readString(identityFile).strip();
            if (!identity.matches("[0-9a-f]{16}")) {
                return new OpenResult.Damaged("the identity file is not one of ours");
            }
            removeParts(folder);
            return recover(folder, identity);
        } catch (final IOException e) {
            return new OpenResult.Unavailable(e.getClass().getSimpleName() + " " + e.getMessage());
        }
    }

    private static String unsupported(final Path folder, final String version) {
        return folder + " holds log format " + version + ", this program reads format " + FORMAT_VERSION
                + ": start the version that wrote it, or empty the folder, one machine at a time, and let the machine"
                + " join again as a new one";
    }

    private static boolean isPart(final Path file) {
        return PART_FILE_NAME.matcher(file.getFileName().toString()).matches();
    }

    /**
     * Opens the folder again after a failed write. What the operating system still shows of a file whose sync failed
     * may not be on the disk, so the files that were last written are written anew and synced before they are read.
     */
    public OpenResult reopen() {
        try {
            channel.close();
        } catch (final IOException e) {
            // The descriptor is released all the same; what counts is read from the files below.
        }
        try {
            if (!Files.exists(folder.resolve(IDENTITY_FILE))) {
                return new OpenResult.Unavailable("the folder has lost its identity");
            }
            removeParts(folder);
            for (final String kind : List.of("picture", "segment")) {
                final List<Long> numbers = fileNumbers(folder, kind);
                if (!numbers.isEmpty()) {
                    final Path file = folder.resolve(fileName(kind, Lists.last(numbers)));
                    replaceFile(file, Files.readAllBytes(file));
                }
            }
            return open(folder, false);
        } catch (final IOException e) {
            return new OpenResult.Unavailable(e.getClass().getSimpleName() + " " + e.getMessage());
        }
    }

    /** Removes what was being written in place of a file when the process or the power went. */
    private static void removeParts(final Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            for (final Path file : files.filter(WriteAheadLog::isPart).toList()) {
                Files.delete(file);
            }
        }
    }

    /** Writes notes as one batch and syncs them; a picture among them starts a new segment and frees the old ones. */
    public void write(final List<LogRecord> records) throws IOException {
        final List<LogRecord> beforeSnapshot = new ArrayList<>();
        final List<LogRecord> afterSnapshot = new ArrayList<>();
        Optional<LogRecord.Snapshot> newestSnapshot = Optional.empty();
        for (final LogRecord record : records) {
            if (record instanceof LogRecord.Snapshot p) {
                newestSnapshot = Optional.of(p);
                afterSnapshot.clear();
            } else {
                (newestSnapshot.isEmpty() ? beforeSnapshot : afterSnapshot).add(record);
            }
        }
        if (!beforeSnapshot.isEmpty()) {
            writeBatch(beforeSnapshot);
        }
        if (newestSnapshot.isPresent()) {
            startSegment();
            if (!afterSnapshot.isEmpty()) {
                writeBatch(afterSnapshot);
            }
            final LogRecord.Snapshot snapshot = newestSnapshot.get();
            replaceFile(folder.resolve(fileName("picture", segmentNumber)), file -> writeSnapshot(file, snapshot));
            removeOlder(folder, segmentNumber);
        } else if (channel.position() > MAX_SEGMENT_BYTES) {
            startSegment();
        }
    }

    /** Lets the files go. */
    public void close() throws IOException {
        channel.close();
    }

    private static OpenResult recover(final Path folder, final String identity) throws IOException {
        final Codec codec = Codec.forLog();
        final List<Long> snapshots = fileNumbers(folder, "picture");
        final List<Long> segments = new ArrayList<>(fileNumbers(folder, "segment"));
        final List<LogRecord> records = new ArrayList<>();
        final long firstSegment = snapshots.isEmpty() ? 0 : Lists.last(snapshots);
        if (!snapshots.isEmpty()) {
            final Optional<LogRecord.Snapshot> snapshot =
                    readSnapshot(folder.resolve(fileName("picture", firstSegment)), codec);
            if (snapshot.isEmpty()) {
                return new OpenResult.Damaged("picture " + firstSegment + " is damaged");
            }
            records.add(snapshot.get());
        }
        segments.removeIf(n -> n < firstSegment);
        for (int i = 1; i < segments.size(); i++) {
            if (segments.get(i) != segments.get(i - 1) + 1) {
                return new OpenResult.Damaged("segment " + (segments.get(i) - 1) + " is missing");
            }
        }
        if (firstSegment > 0 && (segments.isEmpty() || segments.get(0) != firstSegment)) {
            return new OpenResult.Damaged("segment " + firstSegment + " is missing");
        }
        long tornBytes = 0;
        for (int i = 0; i < segments.size(); i++) {
            final Path file = folder.resolve(fileName("segment", segments.get(i)));
            final byte[] bytes = Files.readAllBytes(file);
            final List<byte[]> frames = new ArrayList<>();
            final int end = scanFrames(bytes, frames);
            if (end < bytes.length && (i + 1 < segments.size() || hasCompleteFrameAfter(bytes, end + 1))) {
                return new OpenResult.Damaged("segment " + segments.get(i) + " is damaged at byte " + end);
            }
            for (final byte[] frame : frames) {
                if (!(codec.decode(frame, LogRecord.Batch.class)
                        instanceof Codec.DecodeResult.Decoded<LogRecord.Batch> good)) {
                    return new OpenResult.Damaged("segment " + segments.get(i) + " holds a batch that can't be read");
                }
                records.addAll(good.value().records());
            }
            if (end < bytes.length) {
                tornBytes = bytes.length - end;
                try (FileChannel segmentChannel = FileChannel.open(file, StandardOpenOption.WRITE)) {
                    segmentChannel.truncate(end);
                    segmentChannel.force(true);
                }
            }
        }
        removeOlder(folder, firstSegment);
        final long lastSegment = segments.isEmpty() ? 1 : Lists.last(segments);
        final FileChannel segmentChannel = FileChannel.open(
                folder.resolve(fileName("segment", lastSegment)), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        segmentChannel.position(segmentChannel.size());
        syncFolder(folder);
        return new OpenResult.Success(
                new WriteAheadLog(folder, segmentChannel, lastSegment),
                identity,
                records,
                tornBytes,
                Files.exists(folder.resolve(FOUNDER_FILE)));
    }

    private static int scanFrames(final byte[] bytes, final List<byte[]> frames) {
        int offset = 0;
        while (isCompleteFrame(bytes, offset)) {
            final int size = ByteBuffer.wrap(bytes).getInt(offset + Long.BYTES);
            frames.add(java.util.Arrays.copyOfRange(bytes, offset + HEADER_BYTES, offset + HEADER_BYTES + size));
            offset += HEADER_BYTES + size;
        }
        return offset;
    }

    private static boolean hasCompleteFrameAfter(final byte[] bytes, final int from) {
        for (int offset = from; offset + HEADER_BYTES <= bytes.length; offset++) {
            if (isCompleteFrame(bytes, offset)) {
                return true;
            }
        }
        return false;
    }

    private static boolean isCompleteFrame(final byte[] bytes, final int offset) {
        if (offset + HEADER_BYTES > bytes.length) {
            return false;
        }
        final ByteBuffer header = ByteBuffer.wrap(bytes, offset, HEADER_BYTES);
        if (header.getLong() != MAGIC) {
            return false;
        }
        final int size = header.getInt();
        return size >= 0
                && size <= bytes.length - offset - HEADER_BYTES
                && header.getInt() == checksum(bytes, offset + HEADER_BYTES, size);
    }

    private static int checksum(final byte[] bytes, final int offset, final int size) {
        final CRC32C crc = new CRC32C();
        crc.update(bytes, offset, size);
        return (int) crc.getValue();
    }

    private static byte[] frame(final byte[] body) {
        return ByteBuffer.allocate(HEADER_BYTES + body.length)
                .putLong(MAGIC)
                .putInt(body.length)
                .putInt(checksum(body, 0, body.length))
                .put(body)
                .array();
    }

    /** A snapshot's file: the snapshot without its entries, the entries in parts, and an empty part as its end. */
    private void writeSnapshot(final FileChannel file, final LogRecord.Snapshot snapshot) throws IOException {
        writeFrame(file, snapshot.withEntries(List.of()));
        final List<Entry> part = new ArrayList<>();
        long partBytes = 0;
        for (final Entry entry : snapshot.entries()) {
            part.add(entry);
            partBytes += entry.estimatedBytes();
            if (partBytes > SNAPSHOT_PART_BYTES) {
                writeFrame(file, new LogRecord.SnapshotPart(part));
                part.clear();
                partBytes = 0;
            }
        }
        if (!part.isEmpty()) {
            writeFrame(file, new LogRecord.SnapshotPart(part));
        }
        writeFrame(file, new LogRecord.SnapshotPart(List.of()));
    }

    private void writeFrame(final FileChannel file, final LogRecord record) throws IOException {
        writeAll(file, frame(codec.encode(record, MAX_RECORD_BYTES)));
    }

    private static void writeAll(final FileChannel file, final byte[] bytes) throws IOException {
        final ByteBuffer remaining = ByteBuffer.wrap(bytes);
        while (remaining.hasRemaining()) {
            file.write(remaining);
        }
    }

    /** The snapshot in a file, or nothing where the file is cut short or damaged. */
    private static Optional<LogRecord.Snapshot> readSnapshot(final Path file, final Codec codec) throws IOException {
        final List<Entry> entries = new ArrayList<>();
        Optional<LogRecord.Snapshot> snapshot = Optional.empty();
        try (DataInputStream in = new DataInputStream(new BufferedInputStream(Files.newInputStream(file)))) {
            while (true) {
                final Optional<LogRecord> record = readFrame(in, codec);
                if (record.isEmpty()) {
                    return Optional.empty();
                }
                if (record.get() instanceof LogRecord.Snapshot first && snapshot.isEmpty()) {
                    snapshot = Optional.of(first);
                } else if (record.get() instanceof LogRecord.SnapshotPart part && snapshot.isPresent()) {
                    if (part.entries().isEmpty()) {
                        return in.read() < 0 ? Optional.of(snapshot.get().withEntries(entries)) : Optional.empty();
                    }
                    entries.addAll(part.entries());
                } else {
                    return Optional.empty();
                }
            }
        }
    }

    private static Optional<LogRecord> readFrame(final DataInputStream in, final Codec codec) throws IOException {
        final byte[] header = in.readNBytes(HEADER_BYTES);
        if (header.length < HEADER_BYTES) {
            return Optional.empty();
        }
        final ByteBuffer fields = ByteBuffer.wrap(header);
        final long magic = fields.getLong();
        final int size = fields.getInt();
        if (magic != MAGIC || size < 0 || size > MAX_RECORD_BYTES) {
            return Optional.empty();
        }
        final byte[] body = in.readNBytes(size);
        final boolean sound = body.length == size && checksum(body, 0, size) == fields.getInt();
        return sound && codec.decode(body, LogRecord.class) instanceof Codec.DecodeResult.Decoded<LogRecord> good
                ? Optional.of(good.value())
                : Optional.empty();
    }

    private void writeBatch(final List<LogRecord> records) throws IOException {
        writeFrame(channel, new LogRecord.Batch(records));
        channel.force(false);
    }

    private void startSegment() throws IOException {
        channel.close();
        segmentNumber++;
        channel = FileChannel.open(
                folder.resolve(fileName("segment", segmentNumber)),
                StandardOpenOption.CREATE_NEW,
                StandardOpenOption.WRITE);
        channel.force(true);
        syncFolder(folder);
    }

    /** Removes what a newer snapshot stands for. */
    private static void removeOlder(final Path folder, final long number) throws IOException {
        for (final String kind : List.of("segment", "picture")) {
            for (final long fileNumber : fileNumbers(folder, kind)) {
                if (fileNumber < number) {
                    Files.delete(folder.resolve(fileName(kind, fileNumber)));
                }
            }
        }
        syncFolder(folder);
    }

    /** Puts a damaged folder's files aside, in place of what was put there before; the folder is then a new machine's. */
    public static void moveAside(final Path folder) throws IOException {
        final Path damagedFolder = folder.resolve("damaged");
        Files.createDirectories(damagedFolder);
        for (final Path directory : List.of(damagedFolder, folder)) {
            try (Stream<Path> files = Files.list(directory)) {
                for (final Path file : files.filter(Files::isRegularFile).toList()) {
                    if (directory.equals(damagedFolder)) {
                        Files.delete(file);
                    } else {
                        Files.move(file, damagedFolder.resolve(file.getFileName()), StandardCopyOption.ATOMIC_MOVE);
                    }
                }
            }
        }
        syncFolder(damagedFolder);
        syncFolder(folder);
    }

    /** Writes a whole file in place of an older one, synced with its name. */
    public static void replaceFile(final Path file, final byte[] bytes) throws IOException {
        replaceFile(file, channel -> writeAll(channel, bytes));
    }

    private static void replaceFile(final Path file, final FileContent content) throws IOException {
        final Path part = file.resolveSibling(file.getFileName() + PART_SUFFIX);
        try (FileChannel channel = FileChannel.open(
                part, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING)) {
            content.write(channel);
            channel.force(true);
        }
        Files.move(part, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        syncFolder(file.toAbsolutePath().getParent());
    }

    /** Writes what a file is to hold. */
    private interface FileContent {
        void write(FileChannel file) throws IOException;
    }

    private static void syncFolder(final Path folder) throws IOException {
        try (FileChannel folderChannel = FileChannel.open(folder, StandardOpenOption.READ)) {
            folderChannel.force(true);
        }
    }

    private static List<Long> fileNumbers(final Path folder, final String kind) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.map(f -> f.getFileName().toString())
                    .filter(n -> n.matches(kind + "-\\d{12}"))
                    .map(n -> Long.parseLong(n.substring(n.length() - 12)))
                    .sorted()
                    .toList();
        }
    }

    private static String fileName(final String kind, final long number) {
        return String.format("%s-%012d", kind, number);
    }
}
