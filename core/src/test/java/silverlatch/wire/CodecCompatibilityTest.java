package silverlatch.wire;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import silverlatch.clock.Stamp;
import silverlatch.log.LogRecord;
import silverlatch.replication.LogEntry;
import silverlatch.replication.Replica;
import silverlatch.replication.View;
import silverlatch.state.Command;
import silverlatch.state.Entry;
import silverlatch.state.Value;

/**
 * Guards against changes that make existing data directories unreadable: records of log format 2 must still be decoded after
 * new types were added (directories of format 1 are rejected). The fixture holds at least one record of each type; with {@code
 * -Dsilverlatch.fixture=FILE} the test writes the current records to a file.
 */
final class CodecCompatibilityTest {
    private static final String FIXTURE = "log-records-format-2.txt";

    private static Value.Route route() {
        return new Value.Route(
                "rule",
                "host",
                "/path/",
                true,
                false,
                true,
                false,
                1,
                2,
                3,
                4,
                5,
                List.of("attica"),
                List.of(new Value.WeightedBackend("pool", 6)));
    }

    /** Returns one entry for each value type of the first version of the format, and a deleted entry. */
    private static List<Entry> entries() {
        final List<Value> values = List.of(
                new Value.Tenant("acme", List.of("attica"), 0.5, "hash", "salt"),
                new Value.Row("acme", "chat", 1, 2, 3, 4, 5, 6, 7, 8, 9, true, 1),
                new Value.Evacuation("hall", true, new Stamp(5)),
                new Value.Schedule("night", "0 0 * * *", List.of(new Command.Cell("a", "b", "c", "d")), "", false),
                new Value.Claim("ticket", "carrier", "running", 11, 12),
                new Value.Epoch(13),
                route(),
                new Value.BackendPool("pool", "/health", 1, 2, 3, 4, 5, 6),
                new Value.RoutingConfiguration(41, 1, 2, 3, 4),
                new Value.ConfigurationDocument(41, "the text of 41"),
                new Value.CommandOutcome(14, 422, List.of("a fault")),
                new Value.AcceptedConfiguration(41, 40, 39, "digest"));
        final List<Entry> entries = new ArrayList<>();
        for (int i = 0; i < values.size(); i++) {
            entries.add(new Entry("key-" + i, i, List.of(values.get(i))));
        }
        entries.add(new Entry("gone", 15, List.of()));
        return entries;
    }

    private static List<LogRecord> records() {
        final Replica one = new Replica("id-a", "10.0.0.1:1");
        final Replica two = new Replica("id-b", "10.0.0.2:1");
        final View view = new View(7, 99, List.of(one, two), List.of(two, one), "id-a");
        final List<Entry> entries = entries();
        final LogRecord appended = new LogRecord.Appended(new LogEntry(16, 7, new Stamp(17), entries));
        return List.of(
                new LogRecord.Snapshot(16, view, true, 18, 19, List.of(view), 20, entries),
                appended,
                new LogRecord.ViewInstalled(view, false),
                new LogRecord.Promised(8, 21),
                new LogRecord.Accepted(8, 22, view),
                new LogRecord.InitialViewAgreed(view),
                new LogRecord.Batch(List.of(appended, new LogRecord.Promised(8, 23))),
                new LogRecord.Appended(new LogEntry(17, 7, new Stamp(24), entriesOfAddedTypes())),
                new LogRecord.Appended(new LogEntry(
                        18, 7, new Stamp(31), List.of(new Entry("key-25", 18, List.of(new Value.UsageReported(32)))))));
    }

    /** Returns one entry for most value types that were added after the first records of this format. */
    private static List<Entry> entriesOfAddedTypes() {
        return List.of(
                new Entry("key-20", 17, List.of(new Value.AccessControl(true))),
                new Entry("key-21", 17, List.of(new Value.PublicRoute("host", "/path/"))),
                new Entry(
                        "key-22",
                        17,
                        List.of(new Value.TenantAccess("acme", List.of("digest-1"), 25, List.of("attica")))),
                new Entry("key-23", 17, List.of(new Value.PoolScaling("pool", 26, 27, 28))),
                new Entry(
                        "key-24", 17, List.of(new Value.UsageWindow(29, List.of(new Value.TenantCount("acme", 30))))));
    }

    @Test
    void decodesRecordsOfOlderVersions() throws IOException {
        final Codec codec = Codec.forLog();
        final String file = System.getProperty("silverlatch.fixture", "");
        if (!file.isEmpty()) {
            Files.write(
                    Path.of(file),
                    records().stream()
                            .map(r -> Base64.getEncoder().encodeToString(codec.encode(r)))
                            .toList());
        }
        try (var in = CodecCompatibilityTest.class.getResourceAsStream(FIXTURE)) {
            final List<LogRecord> read = new String(in.readAllBytes(), StandardCharsets.US_ASCII)
                    .lines()
                    .map(line -> codec.decode(Base64.getDecoder().decode(line), LogRecord.class))
                    .map(r -> r instanceof Codec.DecodeResult.Decoded<LogRecord> decoded ? decoded.value() : null)
                    .toList();
            assertThat(read, is(records()));
        }
    }

    /** Type numbers are assigned by hand, since compilers differ in the order of permitted types; no type may be missing. */
    @Test
    void everyRecordAndValueTypeHasATypeNumber() {
        final Set<Class<?>> numbered =
                Codec.logTypes().values().stream().flatMap(List::stream).collect(Collectors.toSet());
        final Set<Class<?>> all = new HashSet<>(List.of(LogRecord.class.getPermittedSubclasses()));
        all.addAll(List.of(Value.class.getPermittedSubclasses()));
        all.removeAll(numbered);
        assertThat(all, is(Set.of()));
    }
}
