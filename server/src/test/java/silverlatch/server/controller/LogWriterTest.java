package silverlatch.server.controller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import silverlatch.log.LogRecord;
import silverlatch.log.WriteAheadLog;
import silverlatch.node.Effect;
import silverlatch.replication.View;

/**
 * Guards against a write that is reported as synced although it was pending when the disk failed. The disk's failure is provoked by a
 * directory that stands at the path of the next snapshot's temporary file, so that writing the snapshot fails until it is removed.
 */
final class LogWriterTest {
    private static final LogRecord.Promised FIRST = new LogRecord.Promised(1, 0);
    private static final LogRecord.Promised NEVER_SYNCED = new LogRecord.Promised(2, 0);
    private static final LogRecord.Promised LAST = new LogRecord.Promised(3, 0);
    private static final LogRecord.Snapshot SNAPSHOT =
            new LogRecord.Snapshot(7, View.NONE, true, 0, 0, List.of(), 0, List.of());

    @TempDir
    private Path dataDirectory;

    /** A call of the writer's listener. */
    private sealed interface Notification {
        record Synced(List<Long> tokens) implements Notification {}

        record Failed(Runnable onWritesStopped) implements Notification {}

        record Recovered(List<LogRecord> records) implements Notification {}
    }

    private static final class RecordingListener implements LogWriter.Listener {
        private final LinkedBlockingQueue<Notification> notifications = new LinkedBlockingQueue<>();

        @Override
        public void onSynced(final List<Long> tokens) {
            notifications.add(new Notification.Synced(tokens));
        }

        @Override
        public void onFailed(final String reason, final Runnable onWritesStopped) {
            notifications.add(new Notification.Failed(onWritesStopped));
        }

        @Override
        public void onRecovered(final List<LogRecord> records) {
            notifications.add(new Notification.Recovered(records));
        }

        Notification next() throws InterruptedException {
            return Objects.requireNonNull(
                    notifications.poll(30, TimeUnit.SECONDS), "the writer didn't notify its listener within 30 s");
        }
    }

    @Test
    void afterAFailedWriteTheLogIsReopenedAndNoPendingWriteIsReportedAsSynced() throws Exception {
        final WriteAheadLog log = ((WriteAheadLog.OpenResult.Success) WriteAheadLog.open(dataDirectory)).log();
        final RecordingListener listener = new RecordingListener();
        final LogWriter writer = new LogWriter(log, listener, 5);
        writer.start();
        writer.write(new Effect.Persist(1, List.of(FIRST)));
        assertThat(listener.next(), is(new Notification.Synced(List.of(1L))));
        final Path blockingDirectory = dataDirectory.resolve("picture-000000000002.part");
        Files.createDirectories(blockingDirectory.resolve("inside"));
        writer.write(new Effect.Persist(2, List.of(SNAPSHOT)));
        final Notification.Failed failed = (Notification.Failed) listener.next();
        writer.write(new Effect.Persist(3, List.of(NEVER_SYNCED)));
        failed.onWritesStopped().run();
        TimeUnit.MILLISECONDS.sleep(100);
        assertThat("the log can't be reopened while the disk fails", listener.notifications.isEmpty(), is(true));
        Files.delete(blockingDirectory.resolve("inside"));
        assertThat(listener.next(), is(new Notification.Recovered(List.of(FIRST))));
        writer.write(new Effect.Persist(4, List.of(SNAPSHOT)));
        assertThat(listener.next(), is(new Notification.Synced(List.of(4L))));
        writer.write(new Effect.Persist(5, List.of(LAST)));
        assertThat(listener.next(), is(new Notification.Synced(List.of(5L))));
        assertThat(
                ((WriteAheadLog.OpenResult.Success) WriteAheadLog.open(dataDirectory)).records(),
                is(List.of(SNAPSHOT, LAST)));
    }
}
