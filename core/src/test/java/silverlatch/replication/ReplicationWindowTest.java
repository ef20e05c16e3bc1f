package silverlatch.replication;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.Test;
import silverlatch.clock.Stamp;
import silverlatch.state.Entry;
import silverlatch.state.Value;

/**
 * Guards against large entries that delay leases and votes on the same link, and against resending entries too soon
 * or too often.
 */
final class ReplicationWindowTest {
    private final ReplicationWindow window = new ReplicationWindow();

    private static LogEntry entry(final long sequence, final int characters) {
        return new LogEntry(
                sequence,
                1,
                new Stamp(sequence),
                List.of(new Entry(
                        "q/paper",
                        sequence,
                        List.of(new Value.ConfigurationDocument(sequence, "x".repeat(characters))))));
    }

    @Test
    void oneLargeEntryOrSeveralSmallOnesMayBeInFlight() {
        window.reset(0, 0);
        assertThat(window.admits(entry(1, 400_000)), is(true));
        window.add(entry(1, 400_000));
        assertThat(window.admits(entry(2, 10)), is(false));
        window.acknowledge(1, 5);
        for (long sequence = 2; sequence < 7; sequence++) {
            assertThat(window.admits(entry(sequence, 10_000)), is(true));
            window.add(entry(sequence, 10_000));
        }
        assertThat(window.admits(entry(7, 20_000)), is(false));
        window.acknowledge(4, 6);
        assertThat(window.admits(entry(7, 20_000)), is(true));
        assertThat(window.acknowledgedSequence(), is(4L));
        assertThat(window.sentSequence(), is(6L));
    }

    @Test
    void theRetryBackoffDoublesWithoutProgress() {
        window.reset(0, 0);
        long now = 0;
        for (final long backoff : new long[] {600_000, 1_200_000, 2_400_000, 4_800_000, 4_800_000}) {
            assertThat(window.isRetryDue(now + backoff - 1), is(false));
            assertThat(window.isRetryDue(now + backoff), is(true));
            now += backoff;
            window.restart(0, now);
        }
        window.add(entry(1, 10));
        window.acknowledge(1, now);
        assertThat("progress resets the backoff", window.isRetryDue(now + 600_000), is(true));
    }
}
