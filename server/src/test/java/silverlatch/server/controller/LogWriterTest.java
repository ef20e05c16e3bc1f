package silverlatch.server.controller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import silverlatch.log.LogRecord;
import silverlatch.log.WriteAheadLog;
import silverlatch.node.Effect;
import silverlatch.replication.View;

final class LogWriterTest {
    private static final LogRecord.Promised FIRST = new LogRecord.Promised(1, 0);
    private static final LogRecord.Promised NEVER_SYNCED = new LogRecord.Promised(2, 0);
    private static final LogRecord.Promised LAST = new LogRecord.Promised(3, 0);
    private static final LogRecord.Snapshot SNAPSHOT =
            new LogRecord.Snapshot(7, View.NONE, true, 0, 0, List.of(), 0, List.of());

    @TempDir
    private Path folder;

    /** What the writer told, in order. */
    private sealed interface Told {
        record Synced(List<Long> tokens) implements Told {}

        record Failed(Runnable fenced) implements Told {}

        record Recovered(List<LogRecord> records) implements Told {}
    }

    private static final class Recorder implements LogWriter.Listener {
        private final LinkedBlockingQueue<Told> told = new LinkedBlockingQueue<>();

        @Override
        public void synced(final List<Long> tokens) {
            told.add(new Told.Synced(tokens));
        }

        @Override
        public void failed(final String why, final Runnable fenced) {
            told.add(new Told.Failed(fenced));
        }

        @Override
        public void recovered(final List<LogRecord> records) {
            told.add(new Told.Recovered(records));
        }

        Told next() throws InterruptedException {
            return java.util.Objects.requireNonNull(told.poll(30, TimeUnit.SECONDS), "nothing was told");
        }
    }

    @Test
    void afterAFailedWriteTheLogIsOpenedAgainAndNothingThatWaitedIsToldAsSynced() throws Exception {
        final WriteAheadLog log = ((WriteAheadLog.OpenResult.Success) WriteAheadLog.open(folder)).log();
        final Recorder recorder = new Recorder();
        final LogWriter writer = new LogWriter(log, recorder, 5);
        writer.start();
        writer.write(new Effect.Persist(1, List.of(FIRST)));
        assertThat(recorder.next(), is(new Told.Synced(List.of(1L))));
        final Path inTheWay = folder.resolve("picture-000000000002.part");
        Files.createDirectories(inTheWay.resolve("inside"));
        writer.write(new Effect.Persist(2, List.of(SNAPSHOT)));
        final Told.Failed failed = (Told.Failed) recorder.next();
        writer.write(new Effect.Persist(3, List.of(NEVER_SYNCED)));
        failed.fenced().run();
        TimeUnit.MILLISECONDS.sleep(100);
        assertThat("the disk still refuses", recorder.told.isEmpty(), is(true));
        Files.delete(inTheWay.resolve("inside"));
        assertThat(recorder.next(), is(new Told.Recovered(List.of(FIRST))));
        writer.write(new Effect.Persist(4, List.of(SNAPSHOT)));
        assertThat(recorder.next(), is(new Told.Synced(List.of(4L))));
        writer.write(new Effect.Persist(5, List.of(LAST)));
        assertThat(recorder.next(), is(new Told.Synced(List.of(5L))));
        assertThat(
                ((WriteAheadLog.OpenResult.Success) WriteAheadLog.open(folder)).records(), is(List.of(SNAPSHOT, LAST)));
    }
}
