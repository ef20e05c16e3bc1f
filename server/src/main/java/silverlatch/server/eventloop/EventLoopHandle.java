package silverlatch.server.eventloop;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import silverlatch.node.Effect;
import silverlatch.node.Node;
import silverlatch.node.Ship;
import silverlatch.state.Command;

/** Runs a deck on its duty and does what it asks for. */
public final class EventLoopHandle {
    private final Node deck;
    private final Consumer<Ship> dock;
    private final Consumer<Effect.Keep> ledger;
    private final Consumer<Node> after;
    private final EventLoop duty;
    private final AtomicLong tokens = new AtomicLong();
    private final Map<Long, Consumer<Object>> asked = new ConcurrentHashMap<>();

    /** A bridge that beats each so many microseconds; the last argument is called after each beat. */
    public EventLoopHandle(
            final Node deck,
            final long beat,
            final Consumer<Ship> dock,
            final Consumer<Effect.Keep> ledger,
            final Consumer<Node> after) {
        this.deck = deck;
        this.dock = dock;
        this.ledger = ledger;
        this.after = after;
        this.duty = new EventLoop("deck", 16_384, beat, this::beat);
    }

    /** Starts the duty. */
    public void start() {
        duty.start();
    }

    /** The duty. */
    public EventLoop duty() {
        return duty;
    }

    /** Does something with the deck on its duty; false when the ring is full. */
    public boolean with(final Consumer<Node> job) {
        return duty.post(() -> {
            job.accept(deck);
            flush();
        });
    }

    /** Does something with the deck on its duty, and something else when all that came of it is on its way. */
    public boolean with(final Consumer<Node> job, final Runnable then) {
        return duty.post(() -> {
            job.accept(deck);
            flush();
            then.run();
        });
    }

    /** Sends a wish; the verdict comes back on the deck's duty before the span is over. False when the ring is full. */
    public boolean wish(final Command wish, final long span, final Consumer<Object> then) {
        final long token = tokens.incrementAndGet();
        final long end = EventLoop.now() + span;
        return with(d -> {
            asked.put(token, then);
            d.wish(wish, token, EventLoop.now(), end);
        });
    }

    /** Asks the tail; the page comes back on the deck's duty before the span is over. False when the ring is full. */
    public boolean read(final String start, final long span, final Consumer<Object> then) {
        final long token = tokens.incrementAndGet();
        final long end = EventLoop.now() + span;
        return with(d -> {
            asked.put(token, then);
            d.read(start, token, EventLoop.now(), end);
        });
    }

    /** The wall clock in nanoseconds. */
    public static long wall() {
        final java.time.Instant t = java.time.Instant.now();
        return t.getEpochSecond() * 1_000_000_000L + t.getNano();
    }

    private void beat() {
        deck.tick(EventLoop.now(), wall());
        flush();
        after.accept(deck);
    }

    private void flush() {
        deck.ships().forEach(dock);
        final List<Effect> list = deck.drain();
        for (final Effect e : list) {
            switch (e) {
                case Effect.Answer a ->
                    java.util.Optional.ofNullable(asked.remove(a.token())).ifPresent(c -> c.accept(a.reply()));
                case Effect.Log l -> Logs.write(l.event(), l.text());
                case Effect.Keep k -> ledger.accept(k);
                case Effect.Send s -> throw new IllegalStateException("a send left the deck unstamped");
            }
        }
        if (deck.parked()) {
            duty.post(() -> {
                java.util.concurrent.locks.LockSupport.parkNanos(200_000L);
                deck.tick(EventLoop.now(), wall());
                flush();
            });
        }
    }
}
