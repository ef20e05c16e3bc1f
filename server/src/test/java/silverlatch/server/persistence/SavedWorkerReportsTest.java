package silverlatch.server.persistence;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
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
    void offeredReportsAreReadBackAndADamagedFileReadsAsEmpty() throws IOException {
        final SavedWorkerReports saved = new SavedWorkerReports(dataDirectory);
        assertThat(saved.read(), is(empty()));
        saved.start();
        assertThat(saved.offer(List.of(REPORT)), is(true));
        final Path file = dataDirectory.resolve("workers");
        while (!Files.exists(file)) {
            Thread.onSpinWait();
        }
        assertThat(new SavedWorkerReports(dataDirectory).read(), is(List.of(REPORT)));
        final byte[] bytes = Files.readAllBytes(file);
        bytes[bytes.length - 1]++;
        Files.write(file, bytes);
        assertThat(new SavedWorkerReports(dataDirectory).read(), is(empty()));
        Files.write(file, new byte[3]);
        assertThat(new SavedWorkerReports(dataDirectory).read(), is(empty()));
    }
}
