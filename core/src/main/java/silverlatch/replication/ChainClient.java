package silverlatch.replication;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import silverlatch.node.Effect;
import silverlatch.state.Command;
import silverlatch.state.CommandResult;
import silverlatch.wire.ChainClientMessage;
import silverlatch.wire.Message;

/** Carries wishes to the head and questions to the tail for one daemon, until they are decided or their time is up. */
public final class ChainClient {
    private static final long RETRY_MICROS = 250_000L;
    private static final int CONFLICT = 409;
    private static final long NO_REVISION = 0;

    /**
     * A document is sent again later the longer it is, in microseconds a character, and each time twice
     * as late: its first copy may still be under way.
     */
    private static final long RETRY_MICROS_PER_CHARACTER = 4;

    private static final int MAX_DOUBLINGS = 6;

    private final String address;
    private final Supplier<View> currentView;
    private final Map<Long, PendingCall> open = new LinkedHashMap<>();
    private final List<Effect> effects = new ArrayList<>();
    private long lastRequestId;
    private long lastViewNumber;

    /** A clerk of the daemon that listens at the address. */
    public ChainClient(final String address, final Supplier<View> currentView, final long firstRequestId) {
        this.address = address;
        this.currentView = currentView;
        this.lastRequestId = firstRequestId;
    }

    /** The tail's reply to a question; ok is false when none came in time. */
    public record ReadResult(boolean answered, long sequence, List<silverlatch.state.Entry> entries) {
        /** Copies the entries. */
        public ReadResult {
            entries = List.copyOf(entries);
        }
    }

    /** Sends a wish; the outcome comes as an answer under the token, a verdict. */
    public void submit(final Command command, final long token, final long now, final long deadline) {
        lastRequestId++;
        final boolean onLatest = command instanceof Command.SetEvacuation order
                && order.expectedRevision() == Command.SetEvacuation.LATEST;
        final Command firstAttempt = onLatest ? ((Command.SetEvacuation) command).expecting(NO_REVISION) : command;
        open(
                lastRequestId,
                new PendingCall(
                        new ChainClientMessage.WriteRequest(lastRequestId, address, firstAttempt),
                        true,
                        token,
                        now,
                        deadline,
                        onLatest,
                        0),
                now);
    }

    /** Asks the tail; the outcome comes as an answer under the token, a page. */
    public void read(final String keyPrefix, final long token, final long now, final long deadline) {
        lastRequestId++;
        open(
                lastRequestId,
                new PendingCall(
                        new ChainClientMessage.ReadRequest(lastRequestId, address, keyPrefix),
                        false,
                        token,
                        now,
                        deadline,
                        false,
                        0),
                now);
    }

    /** Takes a reply of the chain. */
    public void onMessage(final Message message, final long now) {
        switch (message) {
            case ChainClientMessage.WriteReply m -> {
                if (open.containsKey(m.requestId()) && !(m.result() instanceof CommandResult.Unknown)) {
                    decided(open.remove(m.requestId()), m.result(), now);
                }
            }
            case ChainClientMessage.ReadReply m -> {
                if (m.answered() && open.containsKey(m.requestId())) {
                    effects.add(new Effect.Respond(
                            open.remove(m.requestId()).token(), new ReadResult(true, m.sequence(), m.entries())));
                }
            }
            default -> {}
        }
    }

    /** Hands the result on; an order on top of the newest change that came too late for one goes on top of the next. */
    private void decided(final PendingCall call, final CommandResult result, final long now) {
        if (call.onLatest()
                && result instanceof CommandResult.Rejected r
                && r.code() == CONFLICT
                && call.request() instanceof ChainClientMessage.WriteRequest w
                && w.command() instanceof Command.SetEvacuation order) {
            lastRequestId++;
            final Message retry =
                    new ChainClientMessage.WriteRequest(lastRequestId, address, order.expecting(r.sequence()));
            open(lastRequestId, new PendingCall(retry, true, call.token(), now, call.deadline(), true, 0), now);
        } else {
            effects.add(new Effect.Respond(call.token(), result));
        }
    }

    /** A clock event: asks again, at once under another view, and ends what is past its expiry. */
    public void tick(final long now) {
        final boolean viewChanged = currentView.get().number() != lastViewNumber;
        lastViewNumber = currentView.get().number();
        for (final Map.Entry<Long, PendingCall> entry : List.copyOf(open.entrySet())) {
            final PendingCall call = entry.getValue();
            if (now >= call.deadline() || viewChanged || now - call.sentAt() >= retryDelay(call)) {
                open(entry.getKey(), call.retried(), now);
            }
        }
    }

    private static long retryDelay(final PendingCall call) {
        final int doublings = Math.min(call.retries(), MAX_DOUBLINGS);
        return switch (call.request()) {
            case ChainClientMessage.ReadRequest read -> RETRY_MICROS << doublings;
            case ChainClientMessage.WriteRequest write ->
                RETRY_MICROS + (RETRY_MICROS_PER_CHARACTER * characters(write.command()) << doublings);
            default -> RETRY_MICROS;
        };
    }

    private static long characters(final Command command) {
        return command instanceof Command.PutConfiguration put ? put.document().length() : 0;
    }

    /** What is to be done; it is handed over once. */
    public List<Effect> drain() {
        final List<Effect> drained = List.copyOf(effects);
        effects.clear();
        return drained;
    }

    /** Sends while the call lasts, also where this process was frozen meanwhile; else the call ends. */
    private void open(final long id, final PendingCall call, final long now) {
        if (now >= call.deadline()) {
            open.remove(id);
            effects.add(new Effect.Respond(
                    call.token(),
                    call.request() instanceof ChainClientMessage.WriteRequest w
                            ? new CommandResult.Unknown(w.command().id())
                            : new ReadResult(false, 0, List.of())));
            return;
        }
        open.put(
                id,
                new PendingCall(
                        call.request(),
                        call.isWrite(),
                        call.token(),
                        now,
                        call.deadline(),
                        call.onLatest(),
                        call.retries()));
        final View view = currentView.get();
        (call.isWrite() ? view.head() : view.tail())
                .ifPresent(replica -> effects.add(new Effect.Send(replica.address(), call.request())));
    }

    private record PendingCall(
            Message request, boolean isWrite, long token, long sentAt, long deadline, boolean onLatest, int retries) {
        PendingCall retried() {
            return new PendingCall(request, isWrite, token, sentAt, deadline, onLatest, retries + 1);
        }
    }
}
