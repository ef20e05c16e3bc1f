package silverlatch.log;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/** A kind of numbered file in a data directory; a file name is the kind, a hyphen and a number of twelve digits. */
enum NumberedFiles {
    /** Segments of the write-ahead log. */
    SEGMENT("segment"),
    /** Snapshots; a snapshot has the number of the first segment that follows it. */
    SNAPSHOT("picture");

    private static final int DIGITS = 12;
    private final String kind;

    NumberedFiles(final String kind) {
        this.kind = kind;
    }

    /** Returns the path of the file with a number. */
    Path file(final Path folder, final long number) {
        return folder.resolve(String.format("%s-%0" + DIGITS + "d", kind, number));
    }

    /** Returns the numbers of the existing files of this kind in ascending order. */
    List<Long> numbers(final Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.map(file -> file.getFileName().toString())
                    .filter(name -> name.matches(kind + "-\\d{" + DIGITS + "}"))
                    .map(name -> Long.parseLong(name.substring(name.length() - DIGITS)))
                    .sorted()
                    .toList();
        }
    }

    /** Deletes all segments and snapshots with lower numbers: the snapshot with this number replaces them. */
    static void removeOlder(final Path folder, final long number) throws IOException {
        for (final NumberedFiles files : values()) {
            for (final long older : files.numbers(folder)) {
                if (older < number) {
                    Files.delete(files.file(folder, older));
                }
            }
        }
        DurableFiles.syncDirectory(folder);
    }
}
