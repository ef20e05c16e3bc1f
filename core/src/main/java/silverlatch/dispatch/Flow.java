package silverlatch.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;

/** The queue of a tenant's tickets of one kind, its place in the order, and its rate. One duty owns it. */
final class Flow {
    private static final long SECOND = 1_000_000L;
    final String name;
    final String tenant;
    final Deque<Ticket> queue = new ArrayDeque<>();
    double tag;
    int running;
    double held = -1;
    long filled;

    Flow(final String name, final String tenant, final double tag) {
        this.name = name;
        this.tenant = tenant;
        this.tag = tag;
    }

    boolean take(final double rate, final double most, final long now) {
        held = held < 0 ? most : Math.min(most, held + (now - filled) * rate / SECOND);
        filled = now;
        if (held < 1) {
            return false;
        }
        held--;
        return true;
    }

    boolean idle(final long now) {
        return queue.isEmpty() && running == 0 && now - filled > 600 * SECOND;
    }
}
