package silverlatch.log;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/** Writes that are on the disk, with the names of their files, once the call returns. */
public final class DurableFiles {
    /** How the name of a file ends that is being written in place of another one. */
    static final String PART_SUFFIX = ".part";

    private DurableFiles() {}

    /** Writes the content of a file. */
    interface Content {
        void writeTo(FileChannel channel) throws IOException;
    }

    /**
     * Writes a file in place of an older one: a reader, also after a power loss, sees the whole old one or the whole new
     * one.
     */
    public static void replace(final Path file, final byte[] bytes) throws IOException {
        replace(file, channel -> writeAll(channel, bytes));
    }

    /** Writes a file in place of an older one, as {@link #replace(Path, byte[])} does. */
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

    /** Writes all bytes; they are not synced. */
    static void writeAll(final FileChannel channel, final byte[] bytes) throws IOException {
        final ByteBuffer remaining = ByteBuffer.wrap(bytes);
        while (remaining.hasRemaining()) {
            channel.write(remaining);
        }
    }

    /** Cuts a file off at a size. */
    static void truncate(final Path file, final long size) throws IOException {
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE)) {
            channel.truncate(size);
            channel.force(true);
        }
    }

    /** Syncs the names in a directory. */
    static void syncDirectory(final Path directory) throws IOException {
        try (FileChannel channel = FileChannel.open(directory, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }
}
