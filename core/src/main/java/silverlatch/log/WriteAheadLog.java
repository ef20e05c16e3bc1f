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
    private static final int HEAD = Long.BYTES + 2 * Integer.BYTES;
    private static final int LARGEST = 256 << 20;
    private static final String FOUNDER = "founder";
    private static final String IDENTITY = "identity";
    private static final String FORMAT = "format";
    private static final String PART = ".part";
    private static final Pattern PARTS = Pattern.compile("(identity|format|founder|(segment|picture)-\\d{12})\\.part");

    /** The format of the folder's files; raised whenever bytes of the version before would be read differently. */
    public static final int VERSION = 2;

    private static final long SEGMENT = 4L << 20;
    private static final long SNAPSHOT_PART = 1L << 20;
    private final Path folder;
    private final Codec codec = Codec.forLog();
    private FileChannel channel;
    private long number;

    private WriteAheadLog(final Path folder, final FileChannel channel, final long number) {
        this.folder = folder;
        this.channel = channel;
        this.number = number;
    }

    /** What opening a folder gave. */
    public sealed interface Opened {
        /**
         * The ledger, its machine's identity, all that it held, how many bytes of a torn tail were cut off, and whether
         * the folder was made to take part in a first founding.
         */
        record Good(WriteAheadLog ledger, String identity, List<LogRecord> notes, long torn, boolean founder)
                implements Opened {
            /** Copies the notes. */
            public Good {
                notes = List.copyOf(notes);
            }
        }

        /** It can't be trusted. */
        record Damaged(String why) implements Opened {}

        /** The disk can't be read or written now; what it holds may be sound. */
        record Barred(String why) implements Opened {}

        /** It was written in another format and is left as it is; the text says what to do. */
        record Unsupported(String why) implements Opened {}
    }

    /** Opens a folder, and makes it when there is none; one made here may take part in a first founding. */
    public static Opened open(final Path folder) {
        return open(folder, true);
    }

    /** Opens a folder, and makes it when there is none; one made here may take part in a first founding if it is to. */
    public static Opened open(final Path folder, final boolean found) {
        try {
            if (!Files.isDirectory(folder)) {
                Files.createDirectories(folder);
                sync(folder.toAbsolutePath().getParent());
            }
            final Path name = folder.resolve(IDENTITY);
            if (!Files.exists(name)) {
                final byte[] seed = new byte[8];
                new SecureRandom().nextBytes(seed);
                put(folder.resolve(FORMAT), Integer.toString(VERSION).getBytes(StandardCharsets.US_ASCII));
                if (found) {
                    put(folder.resolve(FOUNDER), new byte[0]);
                }
                put(name, HexFormat.of().formatHex(seed).getBytes(StandardCharsets.US_ASCII));
            }
            final String version = Files.exists(folder.resolve(FORMAT))
                    ? Files.readString(folder.resolve(FORMAT)).strip()
                    : "1";
            if (!version.equals(Integer.toString(VERSION))) {
                return new Opened.Unsupported(unsupported(folder, version));
            }
            final String identity = Files.readString(name).strip();
            if (!identity.matches("[0-9a-f]{16}")) {
                return new Opened.Damaged("the identity file is not one of ours");
            }
            removeParts(folder);
            return read(folder, identity);
        } catch (final IOException e) {
            return new Opened.Barred(e.getClass().getSimpleName() + " " + e.getMessage());
        }
    }

    private static String unsupported(final Path folder, final String version) {
        return folder + " holds log format " + version + ", this program reads format " + VERSION
                + ": start the version that wrote it, or empty the folder, one machine at a time, and let the machine"
                + " join again as a new one";
    }

    private static boolean isPart(final Path file) {
        return PARTS.matcher(file.getFileName().toString()).matches();
    }

    /**
     * Opens the folder again after a failed write. What the operating system still shows of a file whose sync failed
     * may not be on the disk, so the files that were last written are written anew and synced before they are read.
     */
    public Opened reopen() {
        try {
            channel.close();
        } catch (final IOException e) {
            // The descriptor is released all the same; what counts is read from the files below.
        }
        try {
            if (!Files.exists(folder.resolve(IDENTITY))) {
                return new Opened.Barred("the folder has lost its identity");
            }
            removeParts(folder);
            for (final String kind : List.of("picture", "segment")) {
                final List<Long> numbers = numbers(folder, kind);
                if (!numbers.isEmpty()) {
                    final Path file = folder.resolve(name(kind, Lists.last(numbers)));
                    put(file, Files.readAllBytes(file));
                }
            }
            return open(folder, false);
        } catch (final IOException e) {
            return new Opened.Barred(e.getClass().getSimpleName() + " " + e.getMessage());
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
    public void write(final List<LogRecord> notes) throws IOException {
        final List<LogRecord> run = new ArrayList<>();
        final List<LogRecord> rest = new ArrayList<>();
        Optional<LogRecord.Snapshot> picture = Optional.empty();
        for (final LogRecord n : notes) {
            if (n instanceof LogRecord.Snapshot p) {
                picture = Optional.of(p);
                rest.clear();
            } else {
                (picture.isEmpty() ? run : rest).add(n);
            }
        }
        if (!run.isEmpty()) {
            batch(run);
        }
        if (picture.isPresent()) {
            turn();
            if (!rest.isEmpty()) {
                batch(rest);
            }
            final LogRecord.Snapshot snapshot = picture.get();
            put(folder.resolve(name("picture", number)), file -> writeSnapshot(file, snapshot));
            removeOlder(folder, number);
        } else if (channel.position() > SEGMENT) {
            turn();
        }
    }

    /** Lets the files go. */
    public void close() throws IOException {
        channel.close();
    }

    private static Opened read(final Path folder, final String identity) throws IOException {
        final Codec codec = Codec.forLog();
        final List<Long> pictures = numbers(folder, "picture");
        final List<Long> segments = new ArrayList<>(numbers(folder, "segment"));
        final List<LogRecord> notes = new ArrayList<>();
        final long first = pictures.isEmpty() ? 0 : Lists.last(pictures);
        if (!pictures.isEmpty()) {
            final Optional<LogRecord.Snapshot> snapshot = readSnapshot(folder.resolve(name("picture", first)), codec);
            if (snapshot.isEmpty()) {
                return new Opened.Damaged("picture " + first + " is damaged");
            }
            notes.add(snapshot.get());
        }
        segments.removeIf(n -> n < first);
        for (int i = 1; i < segments.size(); i++) {
            if (segments.get(i) != segments.get(i - 1) + 1) {
                return new Opened.Damaged("segment " + (segments.get(i) - 1) + " is missing");
            }
        }
        if (first > 0 && (segments.isEmpty() || segments.get(0) != first)) {
            return new Opened.Damaged("segment " + first + " is missing");
        }
        long torn = 0;
        for (int i = 0; i < segments.size(); i++) {
            final Path file = folder.resolve(name("segment", segments.get(i)));
            final byte[] all = Files.readAllBytes(file);
            final List<byte[]> frames = new ArrayList<>();
            final int end = scan(all, frames);
            if (end < all.length && (i + 1 < segments.size() || later(all, end + 1))) {
                return new Opened.Damaged("segment " + segments.get(i) + " is damaged at byte " + end);
            }
            for (final byte[] f : frames) {
                if (!(codec.decode(f, LogRecord.Batch.class)
                        instanceof Codec.DecodeResult.Decoded<LogRecord.Batch> good)) {
                    return new Opened.Damaged("segment " + segments.get(i) + " holds a batch that can't be read");
                }
                notes.addAll(good.value().notes());
            }
            if (end < all.length) {
                torn = all.length - end;
                try (FileChannel ch = FileChannel.open(file, StandardOpenOption.WRITE)) {
                    ch.truncate(end);
                    ch.force(true);
                }
            }
        }
        removeOlder(folder, first);
        final long last = segments.isEmpty() ? 1 : Lists.last(segments);
        final FileChannel ch = FileChannel.open(
                folder.resolve(name("segment", last)), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        ch.position(ch.size());
        sync(folder);
        return new Opened.Good(
                new WriteAheadLog(folder, ch, last), identity, notes, torn, Files.exists(folder.resolve(FOUNDER)));
    }

    private static int scan(final byte[] all, final List<byte[]> frames) {
        int at = 0;
        while (whole(all, at)) {
            final int size = ByteBuffer.wrap(all).getInt(at + Long.BYTES);
            frames.add(java.util.Arrays.copyOfRange(all, at + HEAD, at + HEAD + size));
            at += HEAD + size;
        }
        return at;
    }

    private static boolean later(final byte[] all, final int from) {
        for (int at = from; at + HEAD <= all.length; at++) {
            if (whole(all, at)) {
                return true;
            }
        }
        return false;
    }

    private static boolean whole(final byte[] all, final int at) {
        if (at + HEAD > all.length) {
            return false;
        }
        final ByteBuffer head = ByteBuffer.wrap(all, at, HEAD);
        if (head.getLong() != MAGIC) {
            return false;
        }
        final int size = head.getInt();
        return size >= 0 && size <= all.length - at - HEAD && head.getInt() == sum(all, at + HEAD, size);
    }

    private static int sum(final byte[] all, final int at, final int size) {
        final CRC32C crc = new CRC32C();
        crc.update(all, at, size);
        return (int) crc.getValue();
    }

    private static byte[] frame(final byte[] body) {
        return ByteBuffer.allocate(HEAD + body.length)
                .putLong(MAGIC)
                .putInt(body.length)
                .putInt(sum(body, 0, body.length))
                .put(body)
                .array();
    }

    /** A snapshot's file: the snapshot without its entries, the entries in parts, and an empty part as its end. */
    private void writeSnapshot(final FileChannel file, final LogRecord.Snapshot snapshot) throws IOException {
        writeFrame(file, snapshot.withEntries(List.of()));
        final List<Entry> part = new ArrayList<>();
        long weight = 0;
        for (final Entry entry : snapshot.entries()) {
            part.add(entry);
            weight += entry.weight();
            if (weight > SNAPSHOT_PART) {
                writeFrame(file, new LogRecord.SnapshotPart(part));
                part.clear();
                weight = 0;
            }
        }
        if (!part.isEmpty()) {
            writeFrame(file, new LogRecord.SnapshotPart(part));
        }
        writeFrame(file, new LogRecord.SnapshotPart(List.of()));
    }

    private void writeFrame(final FileChannel file, final LogRecord record) throws IOException {
        writeAll(file, frame(codec.encode(record, LARGEST)));
    }

    private static void writeAll(final FileChannel file, final byte[] bytes) throws IOException {
        final ByteBuffer rest = ByteBuffer.wrap(bytes);
        while (rest.hasRemaining()) {
            file.write(rest);
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
        final byte[] head = in.readNBytes(HEAD);
        if (head.length < HEAD) {
            return Optional.empty();
        }
        final ByteBuffer fields = ByteBuffer.wrap(head);
        final long magic = fields.getLong();
        final int size = fields.getInt();
        if (magic != MAGIC || size < 0 || size > LARGEST) {
            return Optional.empty();
        }
        final byte[] body = in.readNBytes(size);
        final boolean sound = body.length == size && sum(body, 0, size) == fields.getInt();
        return sound && codec.decode(body, LogRecord.class) instanceof Codec.DecodeResult.Decoded<LogRecord> good
                ? Optional.of(good.value())
                : Optional.empty();
    }

    private void batch(final List<LogRecord> notes) throws IOException {
        writeFrame(channel, new LogRecord.Batch(notes));
        channel.force(false);
    }

    private void turn() throws IOException {
        channel.close();
        number++;
        channel = FileChannel.open(
                folder.resolve(name("segment", number)), StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
        channel.force(true);
        sync(folder);
    }

    /** Removes what a newer snapshot stands for. */
    private static void removeOlder(final Path folder, final long number) throws IOException {
        for (final String kind : List.of("segment", "picture")) {
            for (final long old : numbers(folder, kind)) {
                if (old < number) {
                    Files.delete(folder.resolve(name(kind, old)));
                }
            }
        }
        sync(folder);
    }

    /** Puts a damaged folder's files aside, in place of what was put there before; the folder is then a new machine's. */
    public static void aside(final Path folder) throws IOException {
        final Path to = folder.resolve("damaged");
        Files.createDirectories(to);
        for (final Path at : List.of(to, folder)) {
            try (Stream<Path> files = Files.list(at)) {
                for (final Path f : files.filter(Files::isRegularFile).toList()) {
                    if (at.equals(to)) {
                        Files.delete(f);
                    } else {
                        Files.move(f, to.resolve(f.getFileName()), StandardCopyOption.ATOMIC_MOVE);
                    }
                }
            }
        }
        sync(to);
        sync(folder);
    }

    /** Writes a whole file in place of an older one, synced with its name. */
    public static void put(final Path file, final byte[] bytes) throws IOException {
        put(file, channel -> writeAll(channel, bytes));
    }

    private static void put(final Path file, final Content content) throws IOException {
        final Path part = file.resolveSibling(file.getFileName() + PART);
        try (FileChannel channel = FileChannel.open(
                part, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING)) {
            content.write(channel);
            channel.force(true);
        }
        Files.move(part, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        sync(file.toAbsolutePath().getParent());
    }

    /** Writes what a file is to hold. */
    private interface Content {
        void write(FileChannel file) throws IOException;
    }

    private static void sync(final Path folder) throws IOException {
        try (FileChannel ch = FileChannel.open(folder, StandardOpenOption.READ)) {
            ch.force(true);
        }
    }

    private static List<Long> numbers(final Path folder, final String kind) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.map(f -> f.getFileName().toString())
                    .filter(n -> n.matches(kind + "-\\d{12}"))
                    .map(n -> Long.parseLong(n.substring(n.length() - 12)))
                    .sorted()
                    .toList();
        }
    }

    private static String name(final String kind, final long number) {
        return String.format("%s-%012d", kind, number);
    }
}
