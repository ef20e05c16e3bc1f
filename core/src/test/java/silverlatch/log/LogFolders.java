package silverlatch.log;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import silverlatch.replication.View;
import silverlatch.state.Entry;
import silverlatch.state.Value;

/** Helper methods for tests that open and read data directories. */
final class LogFolders {
    private LogFolders() {}

    /** Opens a log; fails if that is unsuccessful. */
    static WriteAheadLog.OpenResult.Success open(final Path folder) {
        return (WriteAheadLog.OpenResult.Success) WriteAheadLog.open(folder);
    }

    /** Returns the path of a segment. */
    static Path segment(final Path folder, final int number) {
        return folder.resolve(String.format("segment-%012d", number));
    }

    /** Returns the contents of the files in a directory by file name. */
    static Map<String, byte[]> files(final Path folder) throws IOException {
        final Map<String, byte[]> contents = new TreeMap<>();
        try (Stream<Path> files = Files.list(folder)) {
            for (final Path file : files.filter(Files::isRegularFile).toList()) {
                contents.put(file.getFileName().toString(), Files.readAllBytes(file));
            }
        }
        return contents;
    }

    /** Returns a snapshot with the given number of entries of 200 KB each. */
    static LogRecord.Snapshot snapshot(final long sequence, final int entries) {
        return new LogRecord.Snapshot(
                sequence,
                View.NONE,
                true,
                0,
                0,
                List.of(),
                0,
                IntStream.range(0, entries).mapToObj(LogFolders::entry).toList());
    }

    private static Entry entry(final int number) {
        return new Entry(
                "o/" + number, number, List.of(new Value.CommandOutcome(number, 0, List.of("x".repeat(200_000)))));
    }
}
