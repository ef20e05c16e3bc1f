package silverlatch.log;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import silverlatch.clock.Stamp;
import silverlatch.replication.LogEntry;
import silverlatch.replication.Replica;
import silverlatch.replication.View;
import silverlatch.state.Command;
import silverlatch.state.Entry;
import silverlatch.state.StateMachine;
import silverlatch.state.Value;
import silverlatch.util.Lists;

final class WriteAheadLogTest {
    @TempDir
    private Path folder;

    private static WriteAheadLog.OpenResult.Success open(final Path folder) {
        return (WriteAheadLog.OpenResult.Success) WriteAheadLog.open(folder);
    }

    private Path segment(final int number) {
        return folder.resolve(String.format("segment-%012d", number));
    }

    @Test
    void whatWasWrittenIsReadBackUnderTheSameIdentity() throws IOException {
        final WriteAheadLog.OpenResult.Success first = open(folder);
        first.log().write(List.of(new LogRecord.Promised(1, 0), new LogRecord.Promised(2, 3)));
        first.log().write(List.of(new LogRecord.Promised(4, 0)));
        first.log().close();
        final WriteAheadLog.OpenResult.Success second = open(folder);
        assertThat(second.identity(), is(first.identity()));
        assertThat(
                second.records(),
                is(List.of(new LogRecord.Promised(1, 0), new LogRecord.Promised(2, 3), new LogRecord.Promised(4, 0))));
    }

    @Test
    void aDamagedFolderIsPutAsideAndItsMachineIsANewOneThatDoesNotFound() throws IOException {
        final String old = open(folder).identity();
        Files.writeString(folder.resolve("identity"), "torn");
        assertThat(WriteAheadLog.open(folder) instanceof WriteAheadLog.OpenResult.Damaged, is(true));
        WriteAheadLog.moveAside(folder);
        final WriteAheadLog.OpenResult.Success next =
                (WriteAheadLog.OpenResult.Success) WriteAheadLog.open(folder, false);
        assertThat(next.identity().equals(old), is(false));
        assertThat(next.mayFound(), is(false));
        assertThat(Files.readString(folder.resolve("damaged/identity")), is("torn"));
    }

    @Test
    void aDiskThatCantBeReadIsNotTakenForDamage() throws IOException {
        final Path file = folder.resolve("plain");
        Files.writeString(file, "no folder");
        assertThat(WriteAheadLog.open(file) instanceof WriteAheadLog.OpenResult.Unavailable, is(true));
    }

    @Test
    void aFolderKeepsWhetherItWasMadeToFound() {
        assertThat(open(folder).mayFound(), is(true));
        assertThat(((WriteAheadLog.OpenResult.Success) WriteAheadLog.open(folder, false)).mayFound(), is(true));
        final Path wiped = folder.resolve("wiped");
        assertThat(((WriteAheadLog.OpenResult.Success) WriteAheadLog.open(wiped, false)).mayFound(), is(false));
        assertThat(((WriteAheadLog.OpenResult.Success) WriteAheadLog.open(wiped, false)).mayFound(), is(false));
    }

    @Test
    void aSnapshotOfAsManyClaimsAsThereMayBeIsReadBack() throws IOException {
        final List<Entry> claims = new java.util.ArrayList<>();
        for (int i = 0; i < StateMachine.MAX_CLAIMS; i++) {
            claims.add(new Entry(
                    "c/" + String.format("%064x", i),
                    i,
                    List.of(new Value.Claim("gateway-1-hmi2nbkpu3-z2gfbs3q7i" + i, "10.0.0.1:7000", "running", i, 1))));
        }
        final LogRecord.Snapshot snapshot = new LogRecord.Snapshot(1, View.NONE, true, 0, 0, List.of(), 1, claims);
        final WriteAheadLog.OpenResult.Success first = open(folder);
        first.log().write(List.of(snapshot));
        first.log().close();
        assertThat(open(folder).records().equals(List.of(snapshot)), is(true));
    }

    @Test
    void aTornTailIsCutOffWhereverItTears() throws IOException {
        final WriteAheadLog.OpenResult.Success first = open(folder);
        first.log().write(List.of(new LogRecord.Promised(1, 0)));
        final long intactBytes = Files.size(segment(1));
        first.log().write(List.of(new LogRecord.Promised(2, 3)));
        first.log().close();
        final byte[] bytes = Files.readAllBytes(segment(1));
        for (int cut = (int) intactBytes; cut < bytes.length; cut++) {
            Files.write(segment(1), Arrays.copyOf(bytes, cut));
            final WriteAheadLog.OpenResult.Success again = open(folder);
            assertThat(again.records(), is(List.of((LogRecord) new LogRecord.Promised(1, 0))));
            assertThat(again.tornBytes(), is(cut - intactBytes));
            again.log().write(List.of(new LogRecord.Promised(9, 0)));
            again.log().close();
            assertThat(Lists.last(open(folder).records()), is(new LogRecord.Promised(9, 0)));
        }
    }

    @Test
    void damageInTheMiddleIsRejected() throws IOException {
        final WriteAheadLog.OpenResult.Success first = open(folder);
        first.log().write(List.of(new LogRecord.Promised(1, 0)));
        first.log().write(List.of(new LogRecord.Promised(2, 3)));
        first.log().close();
        final byte[] bytes = Files.readAllBytes(segment(1));
        for (int at = 0; at < bytes.length / 2; at++) {
            final byte[] damaged = bytes.clone();
            damaged[at] ^= 0x10;
            Files.write(segment(1), damaged);
            assertThat("byte " + at, WriteAheadLog.open(folder), instanceOf(WriteAheadLog.OpenResult.Damaged.class));
        }
    }

    @Test
    void aSnapshotRemovesOldSegmentsAndKeepsWhatFollows() throws IOException {
        final WriteAheadLog.OpenResult.Success first = open(folder);
        first.log().write(List.of(new LogRecord.Promised(1, 0)));
        final LogRecord.Snapshot snapshot = new LogRecord.Snapshot(7, View.NONE, true, 0, 0, List.of(), 0, List.of());
        first.log().write(List.of(snapshot, new LogRecord.Promised(2, 0)));
        first.log().write(List.of(new LogRecord.Promised(3, 0)));
        first.log().close();
        assertThat(Files.exists(segment(1)), is(false));
        assertThat(
                open(folder).records(),
                is(List.of(snapshot, new LogRecord.Promised(2, 0), new LogRecord.Promised(3, 0))));
        Files.write(folder.resolve("picture-000000000002"), new byte[] {1, 2, 3});
        assertThat(WriteAheadLog.open(folder), instanceOf(WriteAheadLog.OpenResult.Damaged.class));
    }

    private static Entry entry(final int number) {
        return new Entry(
                "o/" + number, number, List.of(new Value.CommandOutcome(number, 0, List.of("x".repeat(200_000)))));
    }

    private static LogRecord.Snapshot snapshot(final long sequence, final int entries) {
        return new LogRecord.Snapshot(
                sequence,
                View.NONE,
                true,
                0,
                0,
                List.of(),
                0,
                IntStream.range(0, entries).mapToObj(WriteAheadLogTest::entry).toList());
    }

    @Test
    void aSnapshotInPartsIsReadBackAndOneCutAnywhereIsDamage() throws IOException {
        final LogRecord.Snapshot snapshot = snapshot(7, 20);
        final WriteAheadLog.OpenResult.Success first = open(folder);
        first.log().write(List.of(snapshot));
        first.log().close();
        assertThat(open(folder).records().equals(List.of(snapshot)), is(true));
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
    void eachNameThatIsLostOrKeptByItselfAfterASnapshotLeavesTheSameRecords() throws IOException {
        final WriteAheadLog.OpenResult.Success first = open(folder);
        first.log().write(List.of(snapshot(3, 1), new LogRecord.Promised(1, 0)));
        final Map<String, byte[]> before = files(folder);
        final LogRecord.Snapshot snapshot = snapshot(7, 2);
        first.log().write(List.of(snapshot, new LogRecord.Promised(2, 0)));
        first.log().close();
        final Map<String, byte[]> after = files(folder);
        final List<String> removed =
                before.keySet().stream().filter(n -> !after.containsKey(n)).toList();
        assertThat(removed.size(), is(2));
        final List<LogRecord> expected = List.of(snapshot, new LogRecord.Promised(2, 0));
        for (int kept = 0; kept < 4; kept++) {
            final Map<String, byte[]> folderThen = new TreeMap<>(after);
            for (int i = 0; i < removed.size(); i++) {
                if ((kept >> i & 1) == 1) {
                    folderThen.put(removed.get(i), before.get(removed.get(i)));
                }
            }
            assertThat("kept " + kept, recovered(folderThen), is(expected));
        }
        final Map<String, byte[]> renameLost = new TreeMap<>(before);
        renameLost.putAll(after);
        renameLost.put("picture-000000000003.part", renameLost.remove("picture-000000000003"));
        assertThat(
                "the new snapshot's name was lost",
                recovered(renameLost),
                is(List.of(snapshot(3, 1), new LogRecord.Promised(1, 0), new LogRecord.Promised(2, 0))));
    }

    private static Map<String, byte[]> files(final Path folder) throws IOException {
        final Map<String, byte[]> contents = new TreeMap<>();
        try (Stream<Path> files = Files.list(folder)) {
            for (final Path file : files.filter(Files::isRegularFile).toList()) {
                contents.put(file.getFileName().toString(), Files.readAllBytes(file));
            }
        }
        return contents;
    }

    private List<LogRecord> recovered(final Map<String, byte[]> files) throws IOException {
        final Path copy = Files.createTempDirectory(folder, "copy");
        for (final Map.Entry<String, byte[]> file : files.entrySet()) {
            Files.write(copy.resolve(file.getKey()), file.getValue());
        }
        final WriteAheadLog.OpenResult.Success good = open(copy);
        good.log().close();
        assertThat(
                "nothing is left of a write that was not finished",
                files(copy).keySet().stream().noneMatch(n -> n.endsWith(".part")),
                is(true));
        return good.records();
    }

    @Test
    void aLogWhoseSnapshotCouldNotBeWrittenIsOpenedAgainWithAllThatWasSynced() throws IOException {
        final WriteAheadLog.OpenResult.Success first = open(folder);
        first.log().write(List.of(new LogRecord.Promised(1, 0)));
        final Path inTheWay = folder.resolve("picture-000000000002.part");
        Files.createDirectories(inTheWay.resolve("inside"));
        assertThrows(IOException.class, () -> first.log().write(List.of(snapshot(7, 1))));
        assertThat(first.log().reopen(), instanceOf(WriteAheadLog.OpenResult.Unavailable.class));
        Files.delete(inTheWay.resolve("inside"));
        final WriteAheadLog.OpenResult.Success again =
                (WriteAheadLog.OpenResult.Success) first.log().reopen();
        assertThat(again.identity(), is(first.identity()));
        assertThat(again.records(), is(List.of((LogRecord) new LogRecord.Promised(1, 0))));
        again.log().write(List.of(snapshot(8, 1)));
        again.log().close();
        assertThat(open(folder).records(), is(List.of((LogRecord) snapshot(8, 1))));
    }

    @Test
    void aHalfWrittenBatchIsCutOffWhenTheLogIsOpenedAgain() throws IOException {
        final WriteAheadLog.OpenResult.Success first = open(folder);
        first.log().write(List.of(new LogRecord.Promised(1, 0)));
        final byte[] intact = Files.readAllBytes(segment(1));
        final byte[] torn = Arrays.copyOf(intact, intact.length + intact.length / 2);
        System.arraycopy(intact, 0, torn, intact.length, intact.length / 2);
        Files.write(segment(1), torn);
        final WriteAheadLog.OpenResult.Success again =
                (WriteAheadLog.OpenResult.Success) first.log().reopen();
        assertThat(again.records(), is(List.of((LogRecord) new LogRecord.Promised(1, 0))));
        again.log().write(List.of(new LogRecord.Promised(2, 0)));
        again.log().close();
        assertThat(open(folder).records().size(), is(2));
    }

    @Test
    void aFolderThatLostItsIdentityIsNotOpenedAgainAsANewMachine() throws IOException {
        final WriteAheadLog.OpenResult.Success first = open(folder);
        Files.delete(folder.resolve("identity"));
        assertThat(first.log().reopen(), instanceOf(WriteAheadLog.OpenResult.Unavailable.class));
        assertThat(Files.exists(folder.resolve("identity")), is(false));
    }

    @Test
    void aFolderOfAnotherFormatIsRefusedAndLeftAsItIs() throws IOException {
        open(folder).log().close();
        assertThat(Files.readString(folder.resolve("format")), is("" + WriteAheadLog.FORMAT_VERSION));
        Files.delete(folder.resolve("format"));
        final Map<String, byte[]> before = files(folder);
        final WriteAheadLog.OpenResult older = WriteAheadLog.open(folder);
        assertThat(older, instanceOf(WriteAheadLog.OpenResult.Unsupported.class));
        assertThat(((WriteAheadLog.OpenResult.Unsupported) older).reason(), containsString("log format 1"));
        assertThat(files(folder).keySet(), is(before.keySet()));
        Files.writeString(folder.resolve("format"), "" + (WriteAheadLog.FORMAT_VERSION + 1));
        assertThat(WriteAheadLog.open(folder), instanceOf(WriteAheadLog.OpenResult.Unsupported.class));
    }

    @Test
    void everyTypeOfRecordAndValueIsReadBackFromAFolder() throws IOException {
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
                new LogRecord.Founding(view));
        final WriteAheadLog.OpenResult.Success first = open(folder);
        first.log().write(records);
        first.log().close();
        assertThat(open(folder).records(), is(records));
    }
}
