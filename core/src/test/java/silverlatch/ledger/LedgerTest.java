package silverlatch.ledger;

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
import silverlatch.quay.View;
import silverlatch.tariff.Books;
import silverlatch.tariff.Entry;
import silverlatch.tariff.Leaf;

final class LedgerTest {
    @TempDir
    private Path folder;

    private static Ledger.Opened.Good open(final Path folder) {
        return (Ledger.Opened.Good) Ledger.open(folder);
    }

    private Path segment(final int number) {
        return folder.resolve(String.format("segment-%012d", number));
    }

    @Test
    void whatWasWrittenIsReadBackUnderTheSameIdentity() throws IOException {
        final Ledger.Opened.Good first = open(folder);
        first.ledger().write(List.of(new Note.Vow(1, 0), new Note.Vow(2, 3)));
        first.ledger().write(List.of(new Note.Vow(4, 0)));
        first.ledger().close();
        final Ledger.Opened.Good second = open(folder);
        assertThat(second.identity(), is(first.identity()));
        assertThat(second.notes(), is(List.of(new Note.Vow(1, 0), new Note.Vow(2, 3), new Note.Vow(4, 0))));
    }

    @Test
    void aDamagedFolderIsPutAsideAndItsMachineIsANewOneThatDoesNotFound() throws IOException {
        final String old = open(folder).identity();
        Files.writeString(folder.resolve("identity"), "torn");
        assertThat(Ledger.open(folder) instanceof Ledger.Opened.Damaged, is(true));
        Ledger.aside(folder);
        final Ledger.Opened.Good next = (Ledger.Opened.Good) Ledger.open(folder, false);
        assertThat(next.identity().equals(old), is(false));
        assertThat(next.founder(), is(false));
        assertThat(Files.readString(folder.resolve("damaged/identity")), is("torn"));
    }

    @Test
    void aDiskThatCantBeReadIsNotTakenForDamage() throws IOException {
        final Path file = folder.resolve("plain");
        Files.writeString(file, "no folder");
        assertThat(Ledger.open(file) instanceof Ledger.Opened.Barred, is(true));
    }

    @Test
    void aFolderKeepsWhetherItWasMadeToFound() {
        assertThat(open(folder).founder(), is(true));
        assertThat(((Ledger.Opened.Good) Ledger.open(folder, false)).founder(), is(true));
        final Path wiped = folder.resolve("wiped");
        assertThat(((Ledger.Opened.Good) Ledger.open(wiped, false)).founder(), is(false));
        assertThat(((Ledger.Opened.Good) Ledger.open(wiped, false)).founder(), is(false));
    }

    @Test
    void aPictureOfAsManyClaimsAsThereMayBeIsReadBack() throws IOException {
        final List<Entry> claims = new java.util.ArrayList<>();
        for (int i = 0; i < Books.CLAIMS; i++) {
            claims.add(new Entry("c/" + String.format("%064x", i), i, List.of(new Leaf.Claim("purser-1-hmi2nbkpu3-z2gfbs3q7i" + i, "10.0.0.1:7000",
                    "running", i, 1))));
        }
        final Note.Picture picture = new Note.Picture(1, View.NONE, true, 0, 0, List.of(), 1, claims);
        final Ledger.Opened.Good first = open(folder);
        first.ledger().write(List.of(picture));
        first.ledger().close();
        assertThat(open(folder).notes().equals(List.of(picture)), is(true));
    }

    @Test
    void aTornTailIsCutOffWhereverItTears() throws IOException {
        final Ledger.Opened.Good first = open(folder);
        first.ledger().write(List.of(new Note.Vow(1, 0)));
        final long whole = Files.size(segment(1));
        first.ledger().write(List.of(new Note.Vow(2, 3)));
        first.ledger().close();
        final byte[] all = Files.readAllBytes(segment(1));
        for (int cut = (int) whole; cut < all.length; cut++) {
            Files.write(segment(1), Arrays.copyOf(all, cut));
            final Ledger.Opened.Good again = open(folder);
            assertThat(again.notes(), is(List.of((Note) new Note.Vow(1, 0))));
            assertThat(again.torn(), is(cut - whole));
            again.ledger().write(List.of(new Note.Vow(9, 0)));
            again.ledger().close();
            assertThat(open(folder).notes().getLast(), is(new Note.Vow(9, 0)));
        }
    }

    @Test
    void damageInTheMiddleIsRejected() throws IOException {
        final Ledger.Opened.Good first = open(folder);
        first.ledger().write(List.of(new Note.Vow(1, 0)));
        first.ledger().write(List.of(new Note.Vow(2, 3)));
        first.ledger().close();
        final byte[] all = Files.readAllBytes(segment(1));
        for (int at = 0; at < all.length / 2; at++) {
            final byte[] hurt = all.clone();
            hurt[at] ^= 0x10;
            Files.write(segment(1), hurt);
            assertThat("byte " + at, Ledger.open(folder), instanceOf(Ledger.Opened.Damaged.class));
        }
    }

    @Test
    void aPictureFreesOldSegmentsAndKeepsWhatFollows() throws IOException {
        final Ledger.Opened.Good first = open(folder);
        first.ledger().write(List.of(new Note.Vow(1, 0)));
        final Note.Picture picture = new Note.Picture(7, View.NONE, true, 0, 0, List.of(), 0, List.of());
        first.ledger().write(List.of(picture, new Note.Vow(2, 0)));
        first.ledger().write(List.of(new Note.Vow(3, 0)));
        first.ledger().close();
        assertThat(Files.exists(segment(1)), is(false));
        assertThat(open(folder).notes(), is(List.of(picture, new Note.Vow(2, 0), new Note.Vow(3, 0))));
        Files.write(folder.resolve("picture-000000000002"), new byte[] {1, 2, 3});
        assertThat(Ledger.open(folder), instanceOf(Ledger.Opened.Damaged.class));
    }
}
