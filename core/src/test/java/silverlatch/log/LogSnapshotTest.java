package silverlatch.log;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import silverlatch.replication.View;
import silverlatch.state.Entry;
import silverlatch.state.StateMachine;
import silverlatch.state.Value;

/** Checks that snapshots replace older segments, are recovered completely, and are reported as damaged if incomplete. */
final class LogSnapshotTest {
    @TempDir
    private Path folder;

    @Test
    void recoversASnapshotWithTheMaximumNumberOfClaims() throws IOException {
        final List<Entry> claims = new ArrayList<>();
        for (int i = 0; i < StateMachine.MAX_CLAIMS; i++) {
            claims.add(new Entry(
                    "c/" + String.format("%064x", i),
                    i,
                    List.of(new Value.Claim("gateway-1-hmi2nbkpu3-z2gfbs3q7i" + i, "10.0.0.1:7000", "running", i, 1))));
        }
        final LogRecord.Snapshot snapshot = new LogRecord.Snapshot(1, View.NONE, true, 0, 0, List.of(), 1, claims);
        final WriteAheadLog.OpenResult.Success first = LogFolders.open(folder);
        first.log().write(List.of(snapshot));
        first.log().close();
        assertThat(LogFolders.open(folder).records().equals(List.of(snapshot)), is(true));
    }

    @Test
    void snapshotDeletesOldSegmentsAndKeepsLaterRecords() throws IOException {
        final WriteAheadLog.OpenResult.Success first = LogFolders.open(folder);
        first.log().write(List.of(new LogRecord.Promised(1, 0)));
        final LogRecord.Snapshot snapshot = new LogRecord.Snapshot(7, View.NONE, true, 0, 0, List.of(), 0, List.of());
        first.log().write(List.of(snapshot, new LogRecord.Promised(2, 0)));
        first.log().write(List.of(new LogRecord.Promised(3, 0)));
        first.log().close();
        assertThat(Files.exists(LogFolders.segment(folder, 1)), is(false));
        assertThat(
                LogFolders.open(folder).records(),
                is(List.of(snapshot, new LogRecord.Promised(2, 0), new LogRecord.Promised(3, 0))));
        Files.write(folder.resolve("picture-000000000002"), new byte[] {1, 2, 3});
        assertThat(WriteAheadLog.open(folder), instanceOf(WriteAheadLog.OpenResult.Damaged.class));
    }

    @Test
    void recoversASnapshotInPartsAndDetectsItsTruncationAnywhere() throws IOException {
        final LogRecord.Snapshot snapshot = LogFolders.snapshot(7, 20);
        final WriteAheadLog.OpenResult.Success first = LogFolders.open(folder);
        first.log().write(List.of(snapshot));
        first.log().close();
        assertThat(LogFolders.open(folder).records().equals(List.of(snapshot)), is(true));
        final Path file = folder.resolve("picture-000000000002");
        final byte[] bytes = Files.readAllBytes(file);
        for (int cut = 0; cut < bytes.length; cut += 1 + bytes.length / 50) {
            Files.write(file, Arrays.copyOf(bytes, cut));
            assertThat("cut " + cut, WriteAheadLog.open(folder), instanceOf(WriteAheadLog.OpenResult.Damaged.class));
        }
        Files.write(file, Arrays.copyOf(bytes, bytes.length + 1));
        assertThat(WriteAheadLog.open(folder), instanceOf(WriteAheadLog.OpenResult.Damaged.class));
    }

    @Test
    void recoversTheSameRecordsIfDeletionsOrARenameWereLostAfterASnapshot() throws IOException {
        final WriteAheadLog.OpenResult.Success first = LogFolders.open(folder);
        first.log().write(List.of(LogFolders.snapshot(3, 1), new LogRecord.Promised(1, 0)));
        final Map<String, byte[]> before = LogFolders.files(folder);
        final LogRecord.Snapshot snapshot = LogFolders.snapshot(7, 2);
        first.log().write(List.of(snapshot, new LogRecord.Promised(2, 0)));
        first.log().close();
        final Map<String, byte[]> after = LogFolders.files(folder);
        final List<String> removed = before.keySet().stream()
                .filter(file -> !after.containsKey(file))
                .toList();
        assertThat(removed.size(), is(2));
        final List<LogRecord> expected = List.of(snapshot, new LogRecord.Promised(2, 0));
        for (int kept = 0; kept < 4; kept++) {
            final Map<String, byte[]> filesAfterCrash = new TreeMap<>(after);
            for (int i = 0; i < removed.size(); i++) {
                if ((kept >> i & 1) == 1) {
                    filesAfterCrash.put(removed.get(i), before.get(removed.get(i)));
                }
            }
            assertThat("kept " + kept, recovered(filesAfterCrash), is(expected));
        }
        final Map<String, byte[]> renameLost = new TreeMap<>(before);
        renameLost.putAll(after);
        renameLost.put("picture-000000000003.part", renameLost.remove("picture-000000000003"));
        assertThat(
                "the rename of the new snapshot was lost",
                recovered(renameLost),
                is(List.of(LogFolders.snapshot(3, 1), new LogRecord.Promised(1, 0), new LogRecord.Promised(2, 0))));
    }

    @Test
    void reopenAfterAFailedSnapshotRecoversAllSyncedRecords() throws IOException {
        final WriteAheadLog.OpenResult.Success first = LogFolders.open(folder);
        first.log().write(List.of(new LogRecord.Promised(1, 0)));
        final Path obstacle = folder.resolve("picture-000000000002.part");
        Files.createDirectories(obstacle.resolve("inside"));
        assertThrows(IOException.class, () -> first.log().write(List.of(LogFolders.snapshot(7, 1))));
        assertThat(first.log().reopen(), instanceOf(WriteAheadLog.OpenResult.Unavailable.class));
        Files.delete(obstacle.resolve("inside"));
        final WriteAheadLog.OpenResult.Success again =
                (WriteAheadLog.OpenResult.Success) first.log().reopen();
        assertThat(again.identity(), is(first.identity()));
        assertThat(again.records(), is(List.of((LogRecord) new LogRecord.Promised(1, 0))));
        again.log().write(List.of(LogFolders.snapshot(8, 1)));
        again.log().close();
        assertThat(LogFolders.open(folder).records(), is(List.of((LogRecord) LogFolders.snapshot(8, 1))));
    }

    /** Returns the records recovered from a directory with these files; checks that temporary files are deleted. */
    private List<LogRecord> recovered(final Map<String, byte[]> files) throws IOException {
        final Path copy = Files.createTempDirectory(folder, "copy");
        for (final Map.Entry<String, byte[]> file : files.entrySet()) {
            Files.write(copy.resolve(file.getKey()), file.getValue());
        }
        final WriteAheadLog.OpenResult.Success opened = LogFolders.open(copy);
        opened.log().close();
        assertThat(
                "temporary files of an interrupted write are deleted",
                LogFolders.files(copy).keySet().stream().noneMatch(file -> file.endsWith(".part")),
                is(true));
        return opened.records();
    }
}
