package silverlatch.server.settings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against invalid settings that are accepted, faults that are reported one at a time, valid settings that are rejected, and wrong
 * defaults.
 */
final class SettingsTest {
    @TempDir
    private Path directory;

    @Test
    void allFaultsAreReportedTogether() throws IOException {
        final Path file = directory.resolve("s.json");
        Files.writeString(
                file,
                "{\"name\":\"a b\",\"zone\":\"z\",\"region\":\"r\",\"address\":\"host:70000\",\"door\":\"10.0.0.1:80\","
                        + "\"seeds\":[\"10.0.0.1:1\",\"10.0.0.1:1\",\"10.0.0.1:2\"],\"key\":\"short\",\"operator\":\"long-enough\",\"low\":99,\"colour\":1}");
        final Settings.ReadResult.Invalid bad =
                (Settings.ReadResult.Invalid) Settings.read(Optional.of(file.toString()), Map.of(), true);
        assertThat(
                bad.faults().stream().map(f -> f.substring(0, f.indexOf(':'))).toList(),
                containsInAnyOrder("$.low", "$.colour", "$.worker", "worker", "name", "address", "seeds", "key"));
    }

    @Test
    void exampleSettingsAreValidAndFlagsOverrideTheFile() {
        for (final String name : List.of("ferry", "telecom")) {
            assertThat(
                    Settings.read(Optional.of("../examples/" + name + "/settings.json"), Map.of(), true),
                    instanceOf(Settings.ReadResult.Valid.class));
        }
        final Settings.ReadResult.Valid valid = (Settings.ReadResult.Valid)
                Settings.read(Optional.of("../examples/ferry/settings.json"), Map.of("name", "other"), true);
        assertThat(valid.settings().name(), is("other"));
        assertThat(valid.settings().mayBootstrap(), is(true));
        assertThat(valid.settings().minInSyncReplicas(), is(2));
        assertThat(valid.settings().voterCount(), is(3));
    }

    @Test
    void clusterSizeIsConfigurableAndMoreInSyncReplicasThanVotersAreAFault() {
        final Settings.ReadResult.Valid valid = (Settings.ReadResult.Valid) Settings.read(
                Optional.of("../examples/ferry/settings.json"),
                Map.of("name", "one", "seeds", List.of("10.0.0.1:7000"), "found", false, "copies", 3, "voters", 6),
                true);
        assertThat(valid.settings().seeds().size(), is(1));
        assertThat(valid.settings().mayBootstrap(), is(false));
        assertThat(valid.settings().minInSyncReplicas(), is(3));
        assertThat(valid.settings().voterCount(), is(6));
        final Settings.ReadResult.Invalid bad = (Settings.ReadResult.Invalid)
                Settings.read(Optional.of("../examples/ferry/settings.json"), Map.of("name", "one", "copies", 4), true);
        assertThat(bad.faults(), is(List.of("copies: more than the voters, of whom there are 3")));
    }

    @Test
    void defaultIntervalsDependOnTheAnnounceSettingAndInvalidIntervalsAreReported() {
        final Optional<String> ferry = Optional.of("../examples/ferry/settings.json");
        assertThat(
                ((Settings.ReadResult.Valid) Settings.read(ferry, Map.of(), false))
                        .settings()
                        .intervals(),
                is(Intervals.DEFAULTS));
        assertThat(
                ((Settings.ReadResult.Valid) Settings.read(ferry, Map.of("announce", "controllers"), false))
                        .settings()
                        .intervals(),
                is(Intervals.LARGE_FLEET));
        final Settings.ReadResult.Invalid bad = (Settings.ReadResult.Invalid) Settings.read(
                ferry,
                Map.of(
                        "announce",
                        "controllers",
                        "heartbeat",
                        5_000_000,
                        "miss",
                        2_000_000,
                        "silent",
                        3_000_000,
                        "forget",
                        5_000_000,
                        "pullHarbor",
                        2_000_000,
                        "deck",
                        1),
                false);
        assertThat(
                bad.faults().stream().map(f -> f.substring(0, f.indexOf(':'))).toList(),
                containsInAnyOrder("$.deck", "miss", "silent"));
        final Settings.ReadResult.Invalid mode =
                (Settings.ReadResult.Invalid) Settings.read(ferry, Map.of("announce", "nowhere"), false);
        assertThat(
                mode.faults().stream().map(f -> f.substring(0, f.indexOf(':'))).toList(),
                containsInAnyOrder("announce"));
    }
}
