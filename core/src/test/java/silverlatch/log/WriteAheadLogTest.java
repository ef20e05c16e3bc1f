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
import silverlatch.replication.View;
import silverlatch.state.Entry;
import silverlatch.state.StateMachine;
import silverlatch.state.Value;
import silverlatch.util.Lists;

final class WriteAheadLogTest {
    @TempDir
    private Path folder;

    private static WriteAheadLog.Opened.Good open(final Path folder) {
        return (WriteAheadLog.Opened.Good) WriteAheadLog.open(folder);
    }

    private Path segment(final int number) {
        return folder.resolve(String.format("segment-%012d", number));
    }

    @Test
    void whatWasWrittenIsReadBackUnderTheSameIdentity() throws IOException {
        final WriteAheadLog.Opened.Good first = open(folder);
        first.ledger().write(List.of(new LogRecord.Promised(1, 0), new LogRecord.Promised(2, 3)));
        first.ledger().write(List.of(new LogRecord.Promised(4, 0)));
        first.ledger().close();
        final WriteAheadLog.Opened.Good second = open(folder);
        assertThat(second.identity(), is(first.identity()));
        assertThat(
                second.notes(),
                is(List.of(new LogRecord.Promised(1, 0), new LogRecord.Promised(2, 3), new LogRecord.Promised(4, 0))));
    }

    @Test
    void aDamagedFolderIsPutAsideAndItsMachineIsANewOneThatDoesNotFound() throws IOException {
        final String old = open(folder).identity();
        Files.writeString(folder.resolve("identity"), "torn");
        assertThat(WriteAheadLog.open(folder) instanceof WriteAheadLog.Opened.Damaged, is(true));
        WriteAheadLog.aside(folder);
        final WriteAheadLog.Opened.Good next = (WriteAheadLog.Opened.Good) WriteAheadLog.open(folder, false);
        assertThat(next.identity().equals(old), is(false));
        assertThat(next.founder(), is(false));
        assertThat(Files.readString(folder.resolve("damaged/identity")), is("torn"));
    }

    @Test
    void aDiskThatCantBeReadIsNotTakenForDamage() throws IOException {
        final Path file = folder.resolve("plain");
        Files.writeString(file, "no folder");
        assertThat(WriteAheadLog.open(file) instanceof WriteAheadLog.Opened.Barred, is(true));
    }

    @Test
    void aFolderKeepsWhetherItWasMadeToFound() {
        assertThat(open(folder).founder(), is(true));
        assertThat(((WriteAheadLog.Opened.Good) WriteAheadLog.open(folder, false)).founder(), is(true));
        final Path wiped = folder.resolve("wiped");
        assertThat(((WriteAheadLog.Opened.Good) WriteAheadLog.open(wiped, false)).founder(), is(false));
        assertThat(((WriteAheadLog.Opened.Good) WriteAheadLog.open(wiped, false)).founder(), is(false));
    }

    @Test
    void aPictureOfAsManyClaimsAsThereMayBeIsReadBack() throws IOException {
        final List<Entry> claims = new java.util.ArrayList<>();
        for (int i = 0; i < StateMachine.CLAIMS; i++) {
            claims.add(new Entry(
                    "c/" + String.format("%064x", i),
                    i,
                    List.of(new Value.Claim("gateway-1-hmi2nbkpu3-z2gfbs3q7i" + i, "10.0.0.1:7000", "running", i, 1))));
        }
        final LogRecord.Snapshot picture = new LogRecord.Snapshot(1, View.NONE, true, 0, 0, List.of(), 1, claims);
        final WriteAheadLog.Opened.Good first = open(folder);
        first.ledger().write(List.of(picture));
        first.ledger().close();
        assertThat(open(folder).notes().equals(List.of(picture)), is(true));
    }

    @Test
    void aTornTailIsCutOffWhereverItTears() throws IOException {
        final WriteAheadLog.Opened.Good first = open(folder);
        first.ledger().write(List.of(new LogRecord.Promised(1, 0)));
        final long whole = Files.size(segment(1));
        first.ledger().write(List.of(new LogRecord.Promised(2, 3)));
        first.ledger().close();
        final byte[] all = Files.readAllBytes(segment(1));
        for (int cut = (int) whole; cut < all.length; cut++) {
            Files.write(segment(1), Arrays.copyOf(all, cut));
            final WriteAheadLog.Opened.Good again = open(folder);
            assertThat(again.notes(), is(List.of((LogRecord) new LogRecord.Promised(1, 0))));
            assertThat(again.torn(), is(cut - whole));
            again.ledger().write(List.of(new LogRecord.Promised(9, 0)));
            again.ledger().close();
            assertThat(Lists.last(open(folder).notes()), is(new LogRecord.Promised(9, 0)));
        }
    }

    @Test
    void damageInTheMiddleIsRejected() throws IOException {
        final WriteAheadLog.Opened.Good first = open(folder);
        first.ledger().write(List.of(new LogRecord.Promised(1, 0)));
        first.ledger().write(List.of(new LogRecord.Promised(2, 3)));
        first.ledger().close();
        final byte[] all = Files.readAllBytes(segment(1));
        for (int at = 0; at < all.length / 2; at++) {
            final byte[] hurt = all.clone();
            hurt[at] ^= 0x10;
            Files.write(segment(1), hurt);
            assertThat("byte " + at, WriteAheadLog.open(folder), instanceOf(WriteAheadLog.Opened.Damaged.class));
        }
    }

    @Test
    void aPictureFreesOldSegmentsAndKeepsWhatFollows() throws IOException {
        final WriteAheadLog.Opened.Good first = open(folder);
        first.ledger().write(List.of(new LogRecord.Promised(1, 0)));
        final LogRecord.Snapshot picture = new LogRecord.Snapshot(7, View.NONE, true, 0, 0, List.of(), 0, List.of());
        first.ledger().write(List.of(picture, new LogRecord.Promised(2, 0)));
        first.ledger().write(List.of(new LogRecord.Promised(3, 0)));
        first.ledger().close();
        assertThat(Files.exists(segment(1)), is(false));
        assertThat(
                open(folder).notes(), is(List.of(picture, new LogRecord.Promised(2, 0), new LogRecord.Promised(3, 0))));
        Files.write(folder.resolve("picture-000000000002"), new byte[] {1, 2, 3});
        assertThat(WriteAheadLog.open(folder), instanceOf(WriteAheadLog.Opened.Damaged.class));
    }
}
