package silverlatch.log;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/** The files of one kind in a data folder: their names are the kind and a number of twelve digits. */
enum NumberedFiles {
    /** Segments of the log. */
    SEGMENT("segment"),
    /** Snapshots; a snapshot's number is that of the first segment after it. */
    SNAPSHOT("picture");

    private static final int DIGITS = 12;
    private final String kind;

    NumberedFiles(final String kind) {
        this.kind = kind;
    }

    /** The file of a number. */
    Path file(final Path folder, final long number) {
        return folder.resolve(String.format("%s-%0" + DIGITS + "d", kind, number));
    }

    /** The numbers of the files that are there, lowest first. */
    List<Long> numbers(final Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.map(file -> file.getFileName().toString())
                    .filter(name -> name.matches(kind + "-\\d{" + DIGITS + "}"))
                    .map(name -> Long.parseLong(name.substring(name.length() - DIGITS)))
                    .sorted()
                    .toList();
        }
    }

    /** Removes the segments and snapshots that the snapshot of a number stands for. */
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
