package silverlatch.server.replay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import silverlatch.dispatch.DispatchEffect;
import silverlatch.gossip.Worker;
import silverlatch.placement.PlacementContext;
import silverlatch.placement.PlacementInput;
import silverlatch.state.TableRules;
import silverlatch.state.Value;

/**
 * Guards against recordings that lose data when they are written and read, and against faults that are reported without their location.
 */
final class RecordingReaderTest {
    @TempDir
    private Path directory;

    private static DispatchEffect.PlacementDecided placement() {
        final Worker worker = new Worker("w-1", "", "syros", "south", 0, 0, 2, 1, 4, List.of(5L), false, 9_000_000L);
        return new DispatchEffect.PlacementDecided(
                new PlacementContext(
                        "request-1",
                        new Value.Tenant("ferry", List.of("south"), 1, "", ""),
                        TableRules.defaultRow("ferry", "fare"),
                        List.of(5L, 6L),
                        "syros",
                        "south",
                        Set.of("naxos")),
                List.of(new PlacementInput(worker, 20_000L, 1, 3, 0, true, 2)),
                77,
                12,
                34,
                "w-1");
    }

    private Path write(final String... lines) throws IOException {
        return Files.write(directory.resolve("day-0.jsonl"), List.of(lines));
    }

    @Test
    void readingAWrittenRecordingReturnsTheSamePlacementsAndEndStates() throws IOException {
        final Path file = write(
                RecordingFormat.HEADER,
                RecordingFormat.write(placement()),
                "{\"end\":{\"ticket\":\"request-1\",\"state\":\"done\",\"why\":\"\"}}");
        assertThat(
                RecordingReader.read(List.of(file)),
                is(new RecordingReader.ReadResult.Valid(
                        new Recording(List.of(placement()), Map.of("request-1", "done")))));
    }

    @Test
    void faultsAreReportedWithFileAndLine() throws IOException {
        final Path file =
                write(RecordingFormat.HEADER, "{odd", "{\"end\":{\"ticket\":\"r\",\"state\":\"done\",\"x\":1}}");
        final RecordingReader.ReadResult result = RecordingReader.read(List.of(file));
        assertThat(result, instanceOf(RecordingReader.ReadResult.Invalid.class));
        assertThat(
                ((RecordingReader.ReadResult.Invalid) result).faults(),
                is(List.of(file + ":2: $: not JSON", file + ":3: $.end.x: unknown key")));
        assertThat(
                RecordingReader.read(List.of(write("{}"))),
                is(new RecordingReader.ReadResult.Invalid(List.of(file + ":1: not a recording of ours"))));
    }
}
