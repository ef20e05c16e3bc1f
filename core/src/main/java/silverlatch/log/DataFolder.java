package silverlatch.log;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * The metadata files of a data directory, apart from log segments and snapshots: the identity of the machine, the format
 * version of all files, and a marker file in directories whose machine may take part in bootstrapping a new fleet.
 *
 * <p>Invariant: the identity is written last, so a directory with an identity file also has the other files.
 */
final class DataFolder {
    private static final String BOOTSTRAP_MARKER = "founder";
    private static final String IDENTITY = "identity";
    private static final String FORMAT = "format";
    private static final String DAMAGED = "damaged";
    private static final String FORMAT_WITHOUT_FILE = "1";
    private static final int IDENTITY_BYTES = 8;
    private static final Pattern PART_FILE_NAME =
            Pattern.compile("(identity|format|founder|(segment|picture)-\\d{12})\\.part");
    private final Path path;

    DataFolder(final Path path) {
        this.path = path;
    }

    /**
     * Creates the directory and its metadata files, unless it already has an identity.
     *
     * @param mayBootstrap whether the machine of a directory created here may take part in bootstrapping a new fleet
     */
    void createIfAbsent(final boolean mayBootstrap) throws IOException {
        if (!Files.isDirectory(path)) {
            Files.createDirectories(path);
            DurableFiles.syncDirectory(path.toAbsolutePath().getParent());
        }
        if (!hasIdentity()) {
            final byte[] identity = new byte[IDENTITY_BYTES];
            new SecureRandom().nextBytes(identity);
            write(FORMAT, Integer.toString(WriteAheadLog.FORMAT_VERSION));
            if (mayBootstrap) {
                write(BOOTSTRAP_MARKER, "");
            }
            write(IDENTITY, HexFormat.of().formatHex(identity));
        }
    }

    private void write(final String name, final String text) throws IOException {
        DurableFiles.replace(path.resolve(name), text.getBytes(StandardCharsets.US_ASCII));
    }

    boolean hasIdentity() {
        return Files.exists(path.resolve(IDENTITY));
    }

    /**
     * Returns the identity of the machine that owns the directory.
     *
     * @throws DamagedLogException if the file doesn't hold an identity
     */
    String identity() throws IOException {
        final String identity = Files.readString(path.resolve(IDENTITY)).strip();
        if (!identity.matches("[0-9a-f]{" + 2 * IDENTITY_BYTES + "}")) {
            throw new DamagedLogException("the identity file does not hold 16 hexadecimal digits");
        }
        return identity;
    }

    /** Returns the format version of the directory's files; a directory without a format file has version 1. */
    String format() throws IOException {
        final Path file = path.resolve(FORMAT);
        return Files.exists(file) ? Files.readString(file).strip() : FORMAT_WITHOUT_FILE;
    }

    /** Returns whether the directory has the marker that allows its machine to take part in bootstrapping a new fleet. */
    boolean mayBootstrap() {
        return Files.exists(path.resolve(BOOTSTRAP_MARKER));
    }

    /** Deletes temporary files that an interrupted {@link DurableFiles#replace} left after a crash or power loss. */
    void removePartialFiles() throws IOException {
        try (Stream<Path> files = Files.list(path)) {
            for (final Path file : files.filter(DataFolder::isPartialFile).toList()) {
                Files.delete(file);
            }
        }
    }

    private static boolean isPartialFile(final Path file) {
        return PART_FILE_NAME.matcher(file.getFileName().toString()).matches();
    }

    /** Moves the directory's files into its subdirectory {@code damaged}, replacing files that were moved there earlier. */
    void moveAside() throws IOException {
        final Path aside = path.resolve(DAMAGED);
        Files.createDirectories(aside);
        for (final Path file : regularFiles(aside)) {
            Files.delete(file);
        }
        for (final Path file : regularFiles(path)) {
            Files.move(file, aside.resolve(file.getFileName()), StandardCopyOption.ATOMIC_MOVE);
        }
        DurableFiles.syncDirectory(aside);
        DurableFiles.syncDirectory(path);
    }

    private static List<Path> regularFiles(final Path directory) throws IOException {
        try (Stream<Path> files = Files.list(directory)) {
            return files.filter(Files::isRegularFile).toList();
        }
    }
}
