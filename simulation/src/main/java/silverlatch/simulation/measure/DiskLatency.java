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

/** Measures how long the write-ahead log takes on this machine's disk to write and sync batches, and to be opened again. */
final class DiskLatency {
    private DiskLatency() {}

    static void run() throws IOException {
        System.out.println("| batch | sync us min/median/max of 50 |");
        System.out.println("| --- | --- |");
        for (final int batch : new int[] {1, 16, 256}) {
            final Path folder = Files.createTempDirectory("silverlatch-disk");
            final WriteAheadLog.OpenResult.Success opened =
                    (WriteAheadLog.OpenResult.Success) WriteAheadLog.open(folder);
            final long[] durations = new long[50];
            for (int i = 0; i < durations.length; i++) {
                final List<LogRecord> records = records(i * batch, batch);
                final long start = EventLoop.nowMicros();
                opened.log().write(records);
                durations[i] = EventLoop.nowMicros() - start;
            }
            Arrays.sort(durations);
            System.out.println("| " + batch + " | " + durations[0] + "/" + durations[25] + "/" + durations[49] + " |");
            opened.log().close();
        }
        System.out.println("| changes in the log | open ms min/median/max of 5 |");
        System.out.println("| --- | --- |");
        for (final int count : new int[] {1_000, 10_000, 100_000}) {
            final Path folder = Files.createTempDirectory("silverlatch-disk");
            final WriteAheadLog.OpenResult.Success opened =
                    (WriteAheadLog.OpenResult.Success) WriteAheadLog.open(folder);
            for (int i = 0; i < count; i += 500) {
                opened.log().write(records(i, 500));
            }
            opened.log().close();
            final long[] durations = new long[5];
            for (int i = 0; i < durations.length; i++) {
                final long start = EventLoop.nowMicros();
                final WriteAheadLog.OpenResult.Success reopened =
                        (WriteAheadLog.OpenResult.Success) WriteAheadLog.open(folder);
                durations[i] = (EventLoop.nowMicros() - start) / 1000;
                reopened.log().close();
            }
            Arrays.sort(durations);
            System.out.println("| " + count + " | " + durations[0] + "/" + durations[2] + "/" + durations[4] + " |");
        }
    }

    private static List<LogRecord> records(final int first, final int count) {
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
