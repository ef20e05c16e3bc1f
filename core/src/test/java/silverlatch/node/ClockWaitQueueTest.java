package silverlatch.node;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import silverlatch.clock.ProcessClock;

/** Checks the order, expiry and removal of items that wait until the node's clock can issue another stamp. */
final class ClockWaitQueueTest {
    private final ClockWaitQueue<String> queue = new ClockWaitQueue<>();
    private final List<String> processed = new ArrayList<>();
    private int capacity;

    private boolean process(final String item) {
        if (capacity == 0) {
            return false;
        }
        capacity--;
        processed.add(item);
        return true;
    }

    @Test
    void itemsKeepTheirOrderWhileTheClockOverflows() {
        queue.processOrAdd("a", this::process, 0);
        capacity = 2;
        queue.processOrAdd("b", this::process, 0);
        assertThat(processed, is(List.of()));
        queue.process(this::process);
        queue.processOrAdd("c", this::process, 0);
        assertThat(processed, is(List.of("a", "b")));
        assertThat(queue.isEmpty(), is(false));
        capacity = 2;
        queue.process(this::process);
        queue.processOrAdd("d", this::process, 0);
        assertThat(processed, is(List.of("a", "b", "c", "d")));
        assertThat(queue.isEmpty(), is(true));
    }

    @Test
    void itemsExpireAfterTheMaximumWait() {
        queue.processOrAdd("a", this::process, 0);
        queue.processOrAdd("b", this::process, 1);
        assertThat(queue.removeExpired(ProcessClock.MAX_WAIT_MICROS), is(0));
        assertThat(queue.removeExpired(ProcessClock.MAX_WAIT_MICROS + 1), is(1));
        capacity = 1;
        queue.process(this::process);
        assertThat(processed, is(List.of("b")));
    }

    @Test
    void clearRemovesWaitingItems() {
        queue.processOrAdd("a", this::process, 0);
        queue.clear();
        capacity = 1;
        queue.process(this::process);
        assertThat(processed, is(List.of()));
    }
}
