package silverlatch.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import silverlatch.gossip.Gossip;
import silverlatch.placement.PlacementInput;

/** What this gateway knows of its own runs at a worker. One duty owns it. */
final class Hand {
    private static final long SECOND = 1_000_000L;
    final Deque<Long> sent = new ArrayDeque<>();
    long life;
    int mine;
    int done;
    long shun;
    long seen = Long.MIN_VALUE;
    long back = Long.MIN_VALUE / 2;

    Hand(final long life) {
        this.life = life;
    }

    void see(final Gossip.ObservedWorker h, final long now) {
        if (h.worker().incarnation() != life) {
            life = h.worker().incarnation();
            back = now;
        }
        h.asOf().ifPresent(t -> {
            if (seen != Long.MIN_VALUE && t - seen > 3 * SECOND) {
                back = now;
            }
            if (t > seen) {
                seen = t;
                while (!sent.isEmpty() && sent.peek() < t) {
                    sent.poll();
                }
                done = 0;
            }
        });
    }

    void start(final long now) {
        mine++;
        sent.add(now);
    }

    void end() {
        mine--;
        done++;
    }

    PlacementInput sight(final Gossip.ObservedWorker h, final long now, final int peers) {
        return new PlacementInput(
                h.worker(), h.age(now), Math.max(0, sent.size() - done), mine, now - back, now < shun, peers);
    }
}
