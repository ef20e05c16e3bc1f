package silverlatch.log;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/** File operations that are durable, including the file's directory entry, once the call returns. */
public final class DurableFiles {
    /** The suffix of the temporary file that is written before it replaces the file of the same name. */
    static final String PART_SUFFIX = ".part";

    private DurableFiles() {}

    /** Callback that writes the content of a file. */
    interface Content {
        void writeTo(FileChannel channel) throws IOException;
    }

    /**
     * Replaces a file atomically and durably: a reader sees either the complete old content or the complete new content,
     * even after a power loss.
     */
    public static void replace(final Path file, final byte[] bytes) throws IOException {
        replace(file, channel -> writeAll(channel, bytes));
    }

    /** Replaces a file atomically and durably, as {@link #replace(Path, byte[])} does. */
    static void replace(final Path file, final Content content) throws IOException {
        final Path part = file.resolveSibling(file.getFileName() + PART_SUFFIX);
        try (FileChannel channel = FileChannel.open(
                part, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING)) {
            content.writeTo(channel);
            channel.force(true);
        }
        Files.move(part, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        syncDirectory(file.toAbsolutePath().getParent());
    }

    /** Writes all bytes without syncing them to disk. */
    static void writeAll(final FileChannel channel, final byte[] bytes) throws IOException {
        final ByteBuffer remaining = ByteBuffer.wrap(bytes);
        while (remaining.hasRemaining()) {
            channel.write(remaining);
        }
    }

    /** Truncates a file to a size in bytes and syncs it. */
    static void truncate(final Path file, final long size) throws IOException {
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE)) {
            channel.truncate(size);
            channel.force(true);
        }
    }

    /** Syncs a directory, which makes the creation, renaming and deletion of files in it durable. */
    static void syncDirectory(final Path directory) throws IOException {
        try (FileChannel channel = FileChannel.open(directory, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }
}
