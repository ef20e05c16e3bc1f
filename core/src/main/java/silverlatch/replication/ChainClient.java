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

/**
 * Sends the commands of one process to the head of the chain and its reads to the tail, again and again until they are answered or their
 * deadline has passed. It does no input or output, and is called by the one thread of the node's event loop; times are of its steady
 * clock, in microseconds.
 *
 * <p>Invariant: a call gets exactly one response: a result, or, past its deadline, that the outcome is unknown.
 */
public final class ChainClient {
    private static final long RETRY_MICROS = 250_000L;
    private static final int CONFLICT = 409;
    private static final long NO_REVISION = 0;

    /**
     * By how much later a document is sent again, in microseconds a character; it doubles with each retry, as the copy before may still
     * be in flight.
     */
    private static final long RETRY_MICROS_PER_CHARACTER = 4;

    private static final int MAX_DOUBLINGS = 6;

    private final String address;
    private final Supplier<View> currentView;
    private final Map<Long, PendingCall> pendingCalls = new LinkedHashMap<>();
    private final List<Effect> effects = new ArrayList<>();
    private long lastRequestId;
    private long lastViewNumber;

    /** A client of the process that listens at the address; ids of its requests go on from the first. */
    public ChainClient(final String address, final Supplier<View> currentView, final long firstRequestId) {
        this.address = address;
        this.currentView = currentView;
        this.lastRequestId = firstRequestId;
    }

    /**
     * The result of a read.
     *
     * @param answered whether the tail answered before the deadline; else the rest is empty
     * @param sequence the committed sequence of the answer
     * @param entries  the entries whose keys begin with the prefix
     */
    public record ReadResult(boolean answered, long sequence, List<silverlatch.state.Entry> entries) {
        /** Copies the entries. */
        public ReadResult {
            entries = List.copyOf(entries);
        }
    }

    /** Sends a command; a {@link CommandResult} comes as the response under the token. */
    public void submit(final Command command, final long token, final long now, final long deadline) {
        lastRequestId++;
        final boolean expectsLatest = command instanceof Command.SetEvacuation evacuation
                && evacuation.expectedRevision() == Command.SetEvacuation.LATEST;
        final Command firstAttempt = expectsLatest ? ((Command.SetEvacuation) command).expecting(NO_REVISION) : command;
        sendOrExpire(
                lastRequestId,
                new PendingCall(
                        new ChainClientMessage.WriteRequest(lastRequestId, address, firstAttempt),
                        true,
                        token,
                        now,
                        deadline,
                        expectsLatest,
                        0),
                now);
    }

    /** Reads the entries whose keys begin with the prefix; a {@link ReadResult} comes as the response under the token. */
    public void read(final String keyPrefix, final long token, final long now, final long deadline) {
        lastRequestId++;
        sendOrExpire(
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

    /** Takes a reply of the head or the tail. */
    public void onMessage(final Message message, final long now) {
        switch (message) {
            case ChainClientMessage.WriteReply m -> {
                if (pendingCalls.containsKey(m.requestId()) && !(m.result() instanceof CommandResult.Unknown)) {
                    complete(pendingCalls.remove(m.requestId()), m.result(), now);
                }
            }
            case ChainClientMessage.ReadReply m -> {
                if (m.answered() && pendingCalls.containsKey(m.requestId())) {
                    effects.add(new Effect.Respond(
                            pendingCalls.remove(m.requestId()).token(),
                            new ReadResult(true, m.sequence(), m.entries())));
                }
            }
            default -> {}
        }
    }

    /** Responds with the result; an evacuation on the latest revision that met a conflict is tried again on the one it learned. */
    private void complete(final PendingCall call, final CommandResult result, final long now) {
        if (call.expectsLatest()
                && result instanceof CommandResult.Rejected r
                && r.code() == CONFLICT
                && call.request() instanceof ChainClientMessage.WriteRequest w
                && w.command() instanceof Command.SetEvacuation evacuation) {
            lastRequestId++;
            final Message retry =
                    new ChainClientMessage.WriteRequest(lastRequestId, address, evacuation.expecting(r.sequence()));
            sendOrExpire(lastRequestId, new PendingCall(retry, true, call.token(), now, call.deadline(), true, 0), now);
        } else {
            effects.add(new Effect.Respond(call.token(), result));
        }
    }

    /** A clock event: sends again what is due, at once under another view, and ends the calls past their deadline. */
    public void tick(final long now) {
        final boolean viewChanged = currentView.get().number() != lastViewNumber;
        lastViewNumber = currentView.get().number();
        for (final Map.Entry<Long, PendingCall> entry : List.copyOf(pendingCalls.entrySet())) {
            final PendingCall call = entry.getValue();
            if (now >= call.deadline() || viewChanged || now - call.sentAt() >= retryDelay(call)) {
                sendOrExpire(entry.getKey(), call.withRetry(), now);
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
        return switch (command) {
            case Command.PutConfiguration put -> put.document().length();
            case Command.PutFullConfiguration put -> put.base().document().length();
            default -> 0;
        };
    }

    /** What is to be done; it is handed over once. */
    public List<Effect> drain() {
        final List<Effect> drained = List.copyOf(effects);
        effects.clear();
        return drained;
    }

    /** Sends a call before its deadline; past it, also where the process was frozen meanwhile, responds that the outcome is unknown. */
    private void sendOrExpire(final long requestId, final PendingCall call, final long now) {
        if (now >= call.deadline()) {
            pendingCalls.remove(requestId);
            effects.add(new Effect.Respond(
                    call.token(),
                    call.request() instanceof ChainClientMessage.WriteRequest w
                            ? new CommandResult.Unknown(w.command().id())
                            : new ReadResult(false, 0, List.of())));
            return;
        }
        pendingCalls.put(
                requestId,
                new PendingCall(
                        call.request(),
                        call.isWrite(),
                        call.token(),
                        now,
                        call.deadline(),
                        call.expectsLatest(),
                        call.retries()));
        final View view = currentView.get();
        (call.isWrite() ? view.head() : view.tail())
                .ifPresent(replica -> effects.add(new Effect.Send(replica.address(), call.request())));
    }

    private record PendingCall(
            Message request,
            boolean isWrite,
            long token,
            long sentAt,
            long deadline,
            boolean expectsLatest,
            int retries) {
        PendingCall withRetry() {
            return new PendingCall(request, isWrite, token, sentAt, deadline, expectsLatest, retries + 1);
        }
    }
}
