package silverlatch.server.persistence;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import silverlatch.gossip.Worker;
import silverlatch.gossip.WorkerReport;

/** Guards against losing the saved worker reports, and against taking over reports from a damaged or truncated file. */
final class SavedWorkerReportsTest {
    private static final WorkerReport REPORT = WorkerReport.of(
            new Worker("w", "10.0.0.1:80", "z", "r", 1, 7, 0, 0, 8, List.of(), true, 0, "pool", 1_000, 0));

    @TempDir
    private Path dataDirectory;

    @Test
    void savedReportsAreReadBackAndADamagedFileReadsAsEmpty() throws IOException, InterruptedException {
        final SavedWorkerReports saved = new SavedWorkerReports(dataDirectory);
        assertThat(saved.read(), is(empty()));
        saved.start();
        final CountDownLatch durable = new CountDownLatch(1);
        assertThat(saved.save(List.of(REPORT), durable::countDown), is(true));
        assertThat(durable.await(10, TimeUnit.SECONDS), is(true));
        final Path file = dataDirectory.resolve("workers");
        assertThat(new SavedWorkerReports(dataDirectory).read(), is(List.of(REPORT)));
        final byte[] bytes = Files.readAllBytes(file);
        bytes[bytes.length - 1]++;
        Files.write(file, bytes);
        assertThat(new SavedWorkerReports(dataDirectory).read(), is(empty()));
        Files.write(file, new byte[3]);
        assertThat(new SavedWorkerReports(dataDirectory).read(), is(empty()));
    }

    /** A report counted as saved, or was never saved, after a write had failed. */
    @Test
    void aFailedWriteIsRepeatedUntilTheReportsAreDurable() throws IOException, InterruptedException {
        final Path directory = dataDirectory.resolve("later");
        final SavedWorkerReports saved = new SavedWorkerReports(directory);
        saved.start();
        final CountDownLatch durable = new CountDownLatch(1);
        assertThat(saved.save(List.of(REPORT), durable::countDown), is(true));
        assertThat(durable.await(500, TimeUnit.MILLISECONDS), is(false));
        Files.createDirectory(directory);
        assertThat(durable.await(10, TimeUnit.SECONDS), is(true));
        assertThat(new SavedWorkerReports(directory).read(), is(List.of(REPORT)));
    }
}
