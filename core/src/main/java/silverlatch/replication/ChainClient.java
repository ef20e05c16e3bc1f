package silverlatch.replication;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import silverlatch.node.Effect;
import silverlatch.state.Command;
import silverlatch.state.CommandResult;
import silverlatch.wire.Message;

/** Carries wishes to the head and questions to the tail for one daemon, until they are decided or their time is up. */
public final class ChainClient {
    private static final long AGAIN = 250_000L;
    private static final int CONFLICT = 409;
    private static final long UNCHANGED = 0;

    /**
     * A document is sent again later the longer it is, in microseconds a character, and each time twice
     * as late: its first copy may still be under way.
     */
    private static final long AGAIN_PER_CHARACTER = 4;

    private static final int MOST_DOUBLINGS = 6;

    private final String home;
    private final Supplier<View> views;
    private final Map<Long, Open> open = new LinkedHashMap<>();
    private final List<Effect> out = new ArrayList<>();
    private long ask;
    private long number;

    /** A clerk of the daemon that listens at the address. */
    public ChainClient(final String home, final Supplier<View> views, final long first) {
        this.home = home;
        this.views = views;
        this.ask = first;
    }

    /** The tail's reply to a question; ok is false when none came in time. */
    public record Page(boolean ok, long sequence, List<silverlatch.state.Entry> entries) {
        /** Copies the entries. */
        public Page {
            entries = List.copyOf(entries);
        }
    }

    /** Sends a wish; the outcome comes as an answer under the token, a verdict. */
    public void wish(final Command wish, final long token, final long now, final long expiry) {
        ask++;
        final boolean onLatest =
                wish instanceof Command.SetEvacuation order && order.expectedRevision() == Command.SetEvacuation.LATEST;
        final Command first = onLatest ? ((Command.SetEvacuation) wish).active(UNCHANGED) : wish;
        open(ask, new Open(new Message.WriteRequest(ask, home, first), true, token, now, expiry, onLatest, 0), now);
    }

    /** Asks the tail; the outcome comes as an answer under the token, a page. */
    public void read(final String start, final long token, final long now, final long expiry) {
        ask++;
        open(ask, new Open(new Message.ReadRequest(ask, home, start), false, token, now, expiry, false, 0), now);
    }

    /** Takes a reply of the chain. */
    public void on(final Message msg, final long now) {
        switch (msg) {
            case Message.WriteReply m -> {
                if (open.containsKey(m.requestId()) && !(m.result() instanceof CommandResult.Unknown)) {
                    decided(open.remove(m.requestId()), m.result(), now);
                }
            }
            case Message.ReadReply m -> {
                if (m.answered() && open.containsKey(m.requestId())) {
                    out.add(new Effect.Respond(
                            open.remove(m.requestId()).token(), new Page(true, m.sequence(), m.entries())));
                }
            }
            default -> {}
        }
    }

    /** Hands the result on; an order on top of the newest change that came too late for one goes on top of the next. */
    private void decided(final Open o, final CommandResult result, final long now) {
        if (o.onLatest()
                && result instanceof CommandResult.Rejected r
                && r.code() == CONFLICT
                && o.msg() instanceof Message.WriteRequest w
                && w.command() instanceof Command.SetEvacuation order) {
            ask++;
            final Message next = new Message.WriteRequest(ask, home, order.active(r.sequence()));
            open(ask, new Open(next, true, o.token(), now, o.expiry(), true, 0), now);
        } else {
            out.add(new Effect.Respond(o.token(), result));
        }
    }

    /** A clock event: asks again, at once under another view, and ends what is past its expiry. */
    public void tick(final long now) {
        final boolean other = views.get().number() != number;
        number = views.get().number();
        for (final Map.Entry<Long, Open> e : List.copyOf(open.entrySet())) {
            final Open o = e.getValue();
            if (now >= o.expiry() || other || now - o.sent() >= pause(o)) {
                open(e.getKey(), o.again(), now);
            }
        }
    }

    private static long pause(final Open o) {
        final int doublings = Math.min(o.resent(), MOST_DOUBLINGS);
        return switch (o.msg()) {
            case Message.ReadRequest read -> AGAIN << doublings;
            case Message.WriteRequest write -> AGAIN + (AGAIN_PER_CHARACTER * characters(write.command()) << doublings);
            default -> AGAIN;
        };
    }

    private static long characters(final Command command) {
        return command instanceof Command.PutConfiguration put ? put.document().length() : 0;
    }

    /** What is to be done; it is handed over once. */
    public List<Effect> drain() {
        final List<Effect> list = List.copyOf(out);
        out.clear();
        return list;
    }

    /** Sends while the call lasts, also where this process was frozen meanwhile; else the call ends. */
    private void open(final long id, final Open o, final long now) {
        if (now >= o.expiry()) {
            open.remove(id);
            out.add(new Effect.Respond(
                    o.token(),
                    o.msg() instanceof Message.WriteRequest w
                            ? new CommandResult.Unknown(w.command().id())
                            : new Page(false, 0, List.of())));
            return;
        }
        open.put(id, new Open(o.msg(), o.write(), o.token(), now, o.expiry(), o.onLatest(), o.resent()));
        final View view = views.get();
        (o.write() ? view.head() : view.tail()).ifPresent(b -> out.add(new Effect.Send(b.address(), o.msg())));
    }

    private record Open(Message msg, boolean write, long token, long sent, long expiry, boolean onLatest, int resent) {
        Open again() {
            return new Open(msg, write, token, sent, expiry, onLatest, resent + 1);
        }
    }
}
