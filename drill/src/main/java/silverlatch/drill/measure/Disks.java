package silverlatch.drill.measure;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import silverlatch.desk.duty.Duty;
import silverlatch.ledger.Ledger;
import silverlatch.ledger.Note;
import silverlatch.quay.Change;
import silverlatch.tariff.Entry;
import silverlatch.tariff.Leaf;
import silverlatch.tide.Stamp;

/** How long the ledger takes on this machine's disk: to write and sync batches, and to be read again. */
final class Disks {
    private Disks() {
    }

    static void run() throws IOException {
        System.out.println("| batch | sync us min/median/max of 50 |");
        System.out.println("| --- | --- |");
        for (final int batch : new int[] {1, 16, 256}) {
            final Path folder = Files.createTempDirectory("silverlatch-disk");
            final Ledger.Opened.Good open = (Ledger.Opened.Good) Ledger.open(folder);
            final long[] spans = new long[50];
            for (int i = 0; i < spans.length; i++) {
                final List<Note> notes = notes(i * batch, batch);
                final long at = Duty.now();
                open.ledger().write(notes);
                spans[i] = Duty.now() - at;
            }
            Arrays.sort(spans);
            System.out.println("| " + batch + " | " + spans[0] + "/" + spans[25] + "/" + spans[49] + " |");
            open.ledger().close();
        }
        System.out.println("| changes in the log | open ms min/median/max of 5 |");
        System.out.println("| --- | --- |");
        for (final int count : new int[] {1_000, 10_000, 100_000}) {
            final Path folder = Files.createTempDirectory("silverlatch-disk");
            final Ledger.Opened.Good open = (Ledger.Opened.Good) Ledger.open(folder);
            for (int i = 0; i < count; i += 500) {
                open.ledger().write(notes(i, 500));
            }
            open.ledger().close();
            final long[] spans = new long[5];
            for (int i = 0; i < spans.length; i++) {
                final long at = Duty.now();
                final Ledger.Opened.Good again = (Ledger.Opened.Good) Ledger.open(folder);
                spans[i] = (Duty.now() - at) / 1000;
                again.ledger().close();
            }
            Arrays.sort(spans);
            System.out.println("| " + count + " | " + spans[0] + "/" + spans[2] + "/" + spans[4] + " |");
        }
    }

    private static List<Note> notes(final int first, final int count) {
        final List<Note> list = new ArrayList<>();
        for (int i = first; i < first + count; i++) {
            list.add(new Note.Deed(new Change(i + 1, 1, new Stamp(i + 1), List.of(new Entry("c/" + "0123456789abcdef".repeat(4) + i, i + 1,
                    List.of(new Leaf.Claim("purser-1-ticket-" + i, "purser-1", "running", i, 0)))))));
        }
        return list;
    }
}
