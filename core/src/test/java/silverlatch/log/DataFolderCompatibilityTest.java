package silverlatch.log;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import silverlatch.clock.Stamp;
import silverlatch.node.Effect;
import silverlatch.replication.ChainReplica;
import silverlatch.replication.Replica;
import silverlatch.replication.ReplicaSettings;
import silverlatch.replication.View;
import silverlatch.state.Entry;
import silverlatch.state.StateMachine;
import silverlatch.state.Value;
import silverlatch.wire.Codec;
import silverlatch.wire.Message;
import silverlatch.wire.ReplicationMessage;

/**
 * Guards against changes that make existing data directories unreadable. Two directories, written by the sources of commit
 * 988a8ee in log format 2, must be recovered with their complete state, the view, and the promise and accepted proposal for
 * the next view; and writing their records again must produce the same bytes. Machine "a" has its complete log since bootstrap
 * and an entry that was never committed; machine "c" has the snapshot of its repair and the log after it. With {@code
 * -Dsilverlatch.fixture.folder=FOLDER}, {@link DataFolderGenerator} writes new directories to an empty directory; the test
 * resources are its "a" and "c".
 */
final class DataFolderCompatibilityTest {
    private static final String FIXTURE = "data-folder-format-2";
    private static final int HEADER_BYTES = 16;
    private static final int DIGEST_RANGES = 4;
    private static final long COMMITTED = 18;
    private static final long FLEET = 477684920622504568L;
    private static final long PROMISED_BALLOT = 768;

    @TempDir
    private Path folder;

    private static List<Entry> committedEntries() {
        return List.of(
                entry("a/0000000000000000001", 4, accepted(1, "F4ZIFR41nXF0OfIw1_Z9fldZLl6Xp0jxksphpgQpKP0")),
                entry("a/0000000000000000002", 13, accepted(2, "6ZI8r0Nk4eMDKM6c5dZ5ifofxZPMFeykzcA3ggAMB3U")),
                entry("a/0000000000000000003", 18, accepted(3, "kXKFyuwPLqkwqWn6YEI0CqIH9Ko83uYLbUk5tGCCbKE")),
                entry("b/pool", 4, DataFolderGenerator.pool()),
                entry("c/key-1", 7, new Value.Claim("request-1", "gateway-1", "running", 31, 0)),
                entry("c/key-2", 9, new Value.Claim("request-2", "gateway-1", "done", 32, 0)),
                entry("c/key-3", 17, new Value.Claim("request-3", "gateway-2", "running", 33, 1)),
                entry("h/glass", 10, new Value.Epoch(1)),
                entry("k/night", 6, DataFolderGenerator.schedule()),
                applied("configuration-1", 4),
                applied("configuration-2", 13),
                applied("configuration-3", 18),
                applied("evacuate-1", 5),
                applied("evacuate-2", 14),
                applied("evacuate-3", 15),
                applied("schedule-1", 6),
                applied("table-1", 3),
                applied("table-2", 16),
                applied("tenant-1", 1),
                applied("tenant-2", 2),
                applied("tenant-3", 11),
                entry("o/tenant-4", 12, new Value.CommandOutcome(0, 404, List.of("no tenant nobody"))),
                entry("p/charter", 18, new Value.RoutingConfiguration(3, 8_192, 65_536, 5_000_000, 6_000_000)),
                entry("q/paper", 18, new Value.ConfigurationDocument(3, "the text of configuration 3")),
                entry("r/*/chat", 16, row("*", 50, 2)),
                entry("r/acme/chat", 16, row("acme", 75, 1)),
                entry("t/acme", 1, DataFolderGenerator.tenant("acme")),
                deleted("t/gone", 11),
                deleted("u/host-1|/v1/", 13),
                deleted("u/host-2|/v1/", 18),
                entry("u/host-3|/v1/", 18, DataFolderGenerator.route(3)),
                entry("z/zone-1", 15, new Value.Evacuation("zone-1", false, new Stamp(1_015))),
                entry("z/zone-2", 14, new Value.Evacuation("zone-2", true, new Stamp(1_014))));
    }

    private static List<Entry> uncommittedEntries() {
        return List.of(
                entry("z/zone-3", 19, new Value.Evacuation("zone-3", true, new Stamp(1_019))), applied("pending", 19));
    }

    private static Entry entry(final String key, final long sequence, final Value value) {
        return new Entry(key, sequence, List.of(value));
    }

    private static Entry deleted(final String key, final long sequence) {
        return new Entry(key, sequence, List.of());
    }

    private static Entry applied(final String id, final long sequence) {
        return entry("o/" + id, sequence, new Value.CommandOutcome(sequence, 0, List.of()));
    }

    private static Value accepted(final long number, final String digest) {
        return new Value.AcceptedConfiguration(number, number - 1, number - 1, digest);
    }

    private static Value row(final String tenant, final double requestsPerSecond, final int priority) {
        return new Value.Row(
                tenant, "chat", 1, 2, 0.25, 0.75, requestsPerSecond, 100, 32, 64, 2_000_000, true, priority);
    }

    private static View view(final long number, final String chain) {
        final List<Replica> voters =
                Stream.of("a", "b", "c").map(DataFolderGenerator::replica).toList();
        final List<Replica> members = chain.chars()
                .mapToObj(Character::toString)
                .map(DataFolderGenerator::replica)
                .toList();
        return new View(number, FLEET, voters, members, voters.get(0).id());
    }

    private static Path fixture(final String name) throws URISyntaxException {
        return Path.of(DataFolderCompatibilityTest.class.getResource(FIXTURE).toURI())
                .resolve(name);
    }

    /** Opens a copy of a directory, since opening may modify it. */
    private WriteAheadLog.OpenResult.Success open(final String name) throws IOException, URISyntaxException {
        final Path copy = Files.createDirectories(folder.resolve("copy-" + name));
        for (final Path file : files(fixture(name))) {
            Files.copy(file, copy.resolve(file.getFileName()));
        }
        final WriteAheadLog.OpenResult.Success opened =
                (WriteAheadLog.OpenResult.Success) WriteAheadLog.open(copy, false);
        opened.log().close();
        return opened;
    }

    private static List<Path> files(final Path directory) throws IOException {
        try (Stream<Path> files = Files.list(directory)) {
            return files.sorted().toList();
        }
    }

    private static StateMachine replay(final List<LogRecord> records) {
        final StateMachine state = new StateMachine();
        for (final LogRecord written : records) {
            if (written instanceof LogRecord.Snapshot snapshot) {
                state.reset(snapshot.sequence(), snapshot.entries());
            } else if (written instanceof LogRecord.Appended appended) {
                state.apply(appended.entry().sequence(), appended.entry().puts());
            }
        }
        return state;
    }

    private static ChainReplica recover(final String name, final List<LogRecord> records) {
        final ReplicaSettings setup =
                ReplicaSettings.of(DataFolderGenerator.replica(name), DataFolderGenerator.ADDRESSES);
        return new ChainReplica(setup, records, () -> new Stamp(2_000), 0);
    }

    @Test
    void generatedDirectoriesCanBeOpened() throws IOException {
        final String target = System.getProperty("silverlatch.fixture.folder", "");
        final Path parent = target.isEmpty() ? folder : Path.of(target);
        DataFolderGenerator.generate(parent);
        for (final String name : List.of("a", "b", "c")) {
            final WriteAheadLog.OpenResult.Success opened =
                    (WriteAheadLog.OpenResult.Success) WriteAheadLog.open(parent.resolve(name));
            opened.log().close();
            assertThat(opened.identity(), is(DataFolderGenerator.replica(name).id()));
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"a", "c"})
    void recoversTheIdentityAndTheBootstrapMarker(final String name) throws IOException, URISyntaxException {
        final WriteAheadLog.OpenResult.Success opened = open(name);
        assertThat(opened.identity(), is(DataFolderGenerator.replica(name).id()));
        assertThat(opened.mayBootstrap(), is(true));
        assertThat(opened.tornBytes(), is(0L));
    }

    @Test
    void recoversAllEntriesOfTheHeadSinceBootstrap() throws IOException, URISyntaxException {
        final List<LogRecord> records = open("a").records();
        assertThat(records.get(0), is(new LogRecord.InitialViewAgreed(view(1, "abc"))));
        assertThat(records.get(1), is(new LogRecord.ViewInstalled(view(1, "abc"), true)));
        final StateMachine state = replay(records);
        final List<Entry> expected = new ArrayList<>(committedEntries());
        expected.addAll(uncommittedEntries());
        expected.sort(java.util.Comparator.comparing(Entry::key));
        assertThat(state.allEntries(), is(expected));
        assertThat(state.sequence(), is(COMMITTED + 1));
        final ChainReplica replica = recover("a", records);
        assertThat(
                "entries known to be committed at the head",
                replica.stateMachine().allEntries(),
                is(List.of()));
        assertThat("entries not known to be committed", replica.status(0).pendingEntries(), is((int) COMMITTED + 1));
    }

    @Test
    void recoversTheCommittedStateFromSnapshotAndLog() throws IOException, URISyntaxException {
        final List<LogRecord> records = open("c").records();
        final LogRecord.Snapshot snapshot = (LogRecord.Snapshot) records.get(0);
        assertThat(
                snapshot.withEntries(List.of()),
                is(new LogRecord.Snapshot(14, view(2, "ab"), false, 0, 0, List.of(), 1_012, List.of())));
        final StateMachine state = recover("c", records).stateMachine();
        assertThat(state.allEntries(), is(committedEntries()));
        assertThat(state.sequence(), is(COMMITTED));
        assertThat(state.policyRevision(), is(COMMITTED));
        assertThat(state.epoch(), is(1L));
        assertThat(state.digests(DIGEST_RANGES), is(new long[] {
            -441960143949867817L, 1793177870366617797L, -1597986634623973776L, 2048095622116333263L
        }));
        assertThat(replay(records).allEntries(), is(committedEntries()));
    }

    @ParameterizedTest
    @ValueSource(strings = {"a", "c"})
    void recoversTheViewAndTheAcceptedProposal(final String name) throws IOException, URISyntaxException {
        final ChainReplica replica = recover(name, open(name).records());
        assertThat(replica.view(), is(view(3, "abc")));
        assertThat(replica.status(0).isCaughtUp(), is(true));
        assertThat(
                "a lower ballot",
                sent(replica, new ReplicationMessage.Prepare(4, PROMISED_BALLOT - 1)),
                is(List.of(new ReplicationMessage.Preempted(4, PROMISED_BALLOT))));
        assertThat(
                "no lease is granted under the old view",
                sent(replica, new ReplicationMessage.LeaseRequest(3, 0, DataFolderGenerator.replica("b"), true, true)),
                is(List.of()));
        assertThat(
                "a higher ballot",
                sent(replica, new ReplicationMessage.Prepare(4, PROMISED_BALLOT + 1)),
                is(List.of(new ReplicationMessage.Promise(
                        4,
                        PROMISED_BALLOT + 1,
                        DataFolderGenerator.replica(name).id(),
                        PROMISED_BALLOT,
                        List.of(view(4, "ac"))))));
    }

    /** Returns the messages that a replica sends in response to a message from machine "b" after its writes were synced. */
    private static List<Message> sent(final ChainReplica replica, final Message message) {
        replica.drain();
        replica.onMessage(message, "b:1", 0);
        final List<Effect> effects = new ArrayList<>(replica.drain());
        effects.stream()
                .filter(Effect.Persist.class::isInstance)
                .forEach(write -> replica.onSynced(((Effect.Persist) write).token(), 0));
        effects.addAll(replica.drain());
        return effects.stream()
                .filter(Effect.Send.class::isInstance)
                .map(send -> ((Effect.Send) send).message())
                .toList();
    }

    @ParameterizedTest
    @ValueSource(strings = {"a", "c"})
    void writingTheRecordsAgainProducesTheSameBytes(final String name) throws IOException, URISyntaxException {
        final Path copy = folder.resolve("written-" + name);
        final WriteAheadLog log = ((WriteAheadLog.OpenResult.Success) WriteAheadLog.open(copy)).log();
        final LogRecord first = open(name).records().get(0);
        if (first instanceof LogRecord.Snapshot) {
            log.write(List.of(first));
        }
        for (final Path file : files(fixture(name))) {
            if (file.getFileName().toString().startsWith("segment")) {
                for (final LogRecord.Batch batch : batches(file)) {
                    log.write(batch.records());
                }
            }
        }
        log.close();
        assertThat(
                files(copy).stream().map(Path::getFileName).toList(),
                is(files(fixture(name)).stream().map(Path::getFileName).toList()));
        for (final Path file : files(fixture(name))) {
            if (!file.endsWith("identity")) {
                assertThat(
                        file.toString(),
                        Files.readAllBytes(copy.resolve(file.getFileName())),
                        is(Files.readAllBytes(file)));
            }
        }
    }

    /** Returns the batches of a segment; each is preceded by a magic number, its size and its checksum. */
    private static List<LogRecord.Batch> batches(final Path segment) throws IOException {
        final ByteBuffer bytes = ByteBuffer.wrap(Files.readAllBytes(segment));
        final List<LogRecord.Batch> batches = new ArrayList<>();
        while (bytes.hasRemaining()) {
            final byte[] body = new byte[bytes.getInt(bytes.position() + Long.BYTES)];
            bytes.position(bytes.position() + HEADER_BYTES);
            bytes.get(body);
            final Codec.DecodeResult<LogRecord.Batch> read = Codec.forLog().decode(body, LogRecord.Batch.class);
            batches.add(((Codec.DecodeResult.Decoded<LogRecord.Batch>) read).value());
        }
        return batches;
    }
}
