package silverlatch.simulation.measure;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import silverlatch.clock.Stamp;
import silverlatch.log.LogRecord;
import silverlatch.log.WriteAheadLog;
import silverlatch.replication.LogEntry;
import silverlatch.server.eventloop.EventLoop;
import silverlatch.state.Entry;
import silverlatch.state.Value;

/** How long the ledger takes on this machine's disk: to write and sync batches, and to be read again. */
final class Disks {
    private Disks() {}

    static void run() throws IOException {
        System.out.println("| batch | sync us min/median/max of 50 |");
        System.out.println("| --- | --- |");
        for (final int batch : new int[] {1, 16, 256}) {
            final Path folder = Files.createTempDirectory("silverlatch-disk");
            final WriteAheadLog.OpenResult.Success open = (WriteAheadLog.OpenResult.Success) WriteAheadLog.open(folder);
            final long[] spans = new long[50];
            for (int i = 0; i < spans.length; i++) {
                final List<LogRecord> notes = notes(i * batch, batch);
                final long at = EventLoop.nowMicros();
                open.log().write(notes);
                spans[i] = EventLoop.nowMicros() - at;
            }
            Arrays.sort(spans);
            System.out.println("| " + batch + " | " + spans[0] + "/" + spans[25] + "/" + spans[49] + " |");
            open.log().close();
        }
        System.out.println("| changes in the log | open ms min/median/max of 5 |");
        System.out.println("| --- | --- |");
        for (final int count : new int[] {1_000, 10_000, 100_000}) {
            final Path folder = Files.createTempDirectory("silverlatch-disk");
            final WriteAheadLog.OpenResult.Success open = (WriteAheadLog.OpenResult.Success) WriteAheadLog.open(folder);
            for (int i = 0; i < count; i += 500) {
                open.log().write(notes(i, 500));
            }
            open.log().close();
            final long[] spans = new long[5];
            for (int i = 0; i < spans.length; i++) {
                final long at = EventLoop.nowMicros();
                final WriteAheadLog.OpenResult.Success again =
                        (WriteAheadLog.OpenResult.Success) WriteAheadLog.open(folder);
                spans[i] = (EventLoop.nowMicros() - at) / 1000;
                again.log().close();
            }
            Arrays.sort(spans);
            System.out.println("| " + count + " | " + spans[0] + "/" + spans[2] + "/" + spans[4] + " |");
        }
    }

    private static List<LogRecord> notes(final int first, final int count) {
        final List<LogRecord> list = new ArrayList<>();
        for (int i = first; i < first + count; i++) {
            list.add(new LogRecord.Appended(new LogEntry(
                    i + 1,
                    1,
                    new Stamp(i + 1),
                    List.of(new Entry(
                            "c/" + "0123456789abcdef".repeat(4) + i,
                            i + 1,
                            List.of(new Value.Claim("gateway-1-ticket-" + i, "gateway-1", "running", i, 0)))))));
        }
        return list;
    }
}
