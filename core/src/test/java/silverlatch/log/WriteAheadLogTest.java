package silverlatch.log;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import silverlatch.clock.Stamp;
import silverlatch.replication.LogEntry;
import silverlatch.replication.Replica;
import silverlatch.replication.View;
import silverlatch.state.Command;
import silverlatch.state.Entry;
import silverlatch.state.Value;
import silverlatch.util.Lists;

/** Checks that records are recovered, a torn write at the end of the log is truncated, and other corruption is detected. */
final class WriteAheadLogTest {
    @TempDir
    private Path folder;

    @Test
    void recoversWrittenRecordsAndTheIdentity() throws IOException {
        final WriteAheadLog.OpenResult.Success first = LogFolders.open(folder);
        first.log().write(List.of(new LogRecord.Promised(1, 0), new LogRecord.Promised(2, 3)));
        first.log().write(List.of(new LogRecord.Promised(4, 0)));
        first.log().close();
        final WriteAheadLog.OpenResult.Success second = LogFolders.open(folder);
        assertThat(second.identity(), is(first.identity()));
        assertThat(
                second.records(),
                is(List.of(new LogRecord.Promised(1, 0), new LogRecord.Promised(2, 3), new LogRecord.Promised(4, 0))));
    }

    @Test
    void recoversRecordsAndValuesOfSeveralTypes() throws IOException {
        final Replica member = new Replica("id", "address");
        final View view = new View(3, 4, List.of(member), List.of(member), "id");
        final List<Entry> entries = List.of(
                new Entry("p/charter", 1, List.of(new Value.RoutingConfiguration(1, 2, 3, 4, 5))),
                new Entry("q/paper", 1, List.of(new Value.ConfigurationDocument(1, "text"))),
                new Entry("o/gone", 2, List.of()),
                new Entry(
                        "k/night",
                        2,
                        List.of(new Value.Schedule(
                                "night", "0 0 * * *", List.of(new Command.Cell("t", "k", "f", "v")), "zone", true))),
                new Entry("z/zone", 2, List.of(new Value.Evacuation("zone", true, new Stamp(9)))));
        final List<LogRecord> records = List.of(
                new LogRecord.Appended(new LogEntry(1, 3, new Stamp(7), entries)),
                new LogRecord.ViewInstalled(view, true),
                new LogRecord.Promised(4, 5),
                new LogRecord.Accepted(4, 5, view),
                new LogRecord.InitialViewAgreed(view));
        final WriteAheadLog.OpenResult.Success first = LogFolders.open(folder);
        first.log().write(records);
        first.log().close();
        assertThat(LogFolders.open(folder).records(), is(records));
    }

    @Test
    void truncatesATornBatchOfAnyLengthAtTheEnd() throws IOException {
        final WriteAheadLog.OpenResult.Success first = LogFolders.open(folder);
        first.log().write(List.of(new LogRecord.Promised(1, 0)));
        final long intactBytes = Files.size(LogFolders.segment(folder, 1));
        first.log().write(List.of(new LogRecord.Promised(2, 3)));
        first.log().close();
        final byte[] bytes = Files.readAllBytes(LogFolders.segment(folder, 1));
        for (int cut = (int) intactBytes; cut < bytes.length; cut++) {
            Files.write(LogFolders.segment(folder, 1), Arrays.copyOf(bytes, cut));
            final WriteAheadLog.OpenResult.Success again = LogFolders.open(folder);
            assertThat(again.records(), is(List.of((LogRecord) new LogRecord.Promised(1, 0))));
            assertThat(again.tornBytes(), is(cut - intactBytes));
            again.log().write(List.of(new LogRecord.Promised(9, 0)));
            again.log().close();
            assertThat(Lists.last(LogFolders.open(folder).records()), is(new LogRecord.Promised(9, 0)));
        }
    }

    @Test
    void reopenTruncatesAPartiallyWrittenBatch() throws IOException {
        final WriteAheadLog.OpenResult.Success first = LogFolders.open(folder);
        first.log().write(List.of(new LogRecord.Promised(1, 0)));
        final byte[] intact = Files.readAllBytes(LogFolders.segment(folder, 1));
        final byte[] torn = Arrays.copyOf(intact, intact.length + intact.length / 2);
        System.arraycopy(intact, 0, torn, intact.length, intact.length / 2);
        Files.write(LogFolders.segment(folder, 1), torn);
        final WriteAheadLog.OpenResult.Success again =
                (WriteAheadLog.OpenResult.Success) first.log().reopen();
        assertThat(again.records(), is(List.of((LogRecord) new LogRecord.Promised(1, 0))));
        again.log().write(List.of(new LogRecord.Promised(2, 0)));
        again.log().close();
        assertThat(LogFolders.open(folder).records().size(), is(2));
    }

    @Test
    void rejectsCorruptionBeforeTheLastBatch() throws IOException {
        final WriteAheadLog.OpenResult.Success first = LogFolders.open(folder);
        first.log().write(List.of(new LogRecord.Promised(1, 0)));
        first.log().write(List.of(new LogRecord.Promised(2, 3)));
        first.log().close();
        final byte[] bytes = Files.readAllBytes(LogFolders.segment(folder, 1));
        for (int offset = 0; offset < bytes.length / 2; offset++) {
            final byte[] damaged = bytes.clone();
            damaged[offset] ^= 0x10;
            Files.write(LogFolders.segment(folder, 1), damaged);
            assertThat(
                    "byte " + offset, WriteAheadLog.open(folder), instanceOf(WriteAheadLog.OpenResult.Damaged.class));
        }
    }
}
