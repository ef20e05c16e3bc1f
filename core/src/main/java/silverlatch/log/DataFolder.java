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
 * The files of a data folder that are not the log's own: the identity of its machine, the format of all files, and a mark
 * on folders that were made to take part in a first founding. The identity is written last, so a folder with an
 * identity has the others.
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

    /** Makes the folder and its files, unless it has an identity; one made here may take part in a founding if so said. */
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
     * The identity of the folder's machine.
     *
     * @throws DamagedLogException if the file holds something else
     */
    String identity() throws IOException {
        final String identity = Files.readString(path.resolve(IDENTITY)).strip();
        if (!identity.matches("[0-9a-f]{" + 2 * IDENTITY_BYTES + "}")) {
            throw new DamagedLogException("the identity file is not one of ours");
        }
        return identity;
    }

    /** The format that the folder's files are written in. */
    String format() throws IOException {
        final Path file = path.resolve(FORMAT);
        return Files.exists(file) ? Files.readString(file).strip() : FORMAT_WITHOUT_FILE;
    }

    /** Whether the folder was made to take part in a first founding. */
    boolean mayBootstrap() {
        return Files.exists(path.resolve(BOOTSTRAP_MARKER));
    }

    /** Removes what was being written in place of a file when the process or the power went. */
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

    /** Moves the folder's files into a folder within it, in place of those that were moved before. */
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
