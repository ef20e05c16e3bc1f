package silverlatch.replication;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import silverlatch.clock.PauseDetector;
import silverlatch.node.Effect;
import silverlatch.node.Event;
import silverlatch.state.Command;
import silverlatch.state.CommandResult;
import silverlatch.wire.ChainClientMessage;
import silverlatch.wire.Message;

/**
 * A client of the chain: sends the commands of one process to the head and its reads to the tail, and retries them until a reply arrives
 * or their deadline passes. It does no I/O and is called on the thread of the node's event loop; times are those of its monotonic clock,
 * in microseconds.
 *
 * <p>Invariant: each call gets exactly one response: its result, or, after its deadline, that the outcome is unknown.
 */
public final class ChainClient {
    private static final long RETRY_MICROS = 250_000L;
    private static final int CONFLICT = 409;
    private static final long NO_REVISION = 0;

    /**
     * The additional retry delay of a configuration document, in microseconds per character. It doubles with each retry, as the previous
     * copy may still be in flight.
     */
    private static final long RETRY_MICROS_PER_CHARACTER = 4;

    private static final int MAX_DOUBLINGS = 6;

    private final String address;
    private final Supplier<View> currentView;
    private final PauseDetector pauses;
    private final Map<Long, PendingCall> pendingCalls = new LinkedHashMap<>();
    private final List<Effect> effects = new ArrayList<>();
    private long lastRequestId;
    private long lastViewNumber;

    /**
     * Creates a client of the process that listens at the address; request ids start after {@code firstRequestId}.
     *
     * @param pauses the pauses of this process
     */
    public ChainClient(
            final String address,
            final Supplier<View> currentView,
            final long firstRequestId,
            final PauseDetector pauses) {
        this.address = address;
        this.currentView = currentView;
        this.pauses = pauses;
        this.lastRequestId = firstRequestId;
    }

    /**
     * The result of a read.
     *
     * @param answered whether the tail answered before the deadline; otherwise sequence is 0 and entries is empty
     * @param sequence the committed sequence number that the entries were read at
     * @param entries  the entries whose keys start with the prefix
     */
    public record ReadResult(boolean answered, long sequence, List<silverlatch.state.Entry> entries) {
        /** Copies the entries. */
        public ReadResult {
            entries = List.copyOf(entries);
        }
    }

    /**
     * Sends a command; the response for the token will be a {@link CommandResult}.
     *
     * <p>A command that may have waited during a pause of this process has that much less time, so that nothing is sent
     * for a caller that may have given up before the pause ended and sent other commands since.
     *
     * @param deadline the time until which the caller waits if it called just now
     */
    public void submit(final Command command, final long token, final long now, final long deadline) {
        lastRequestId++;
        final long possibleWait = pauses.possibleWait(now);
        if (possibleWait > 0 && now >= deadline - possibleWait) {
            drop(command.id(), "may have waited for " + possibleWait + " us", token);
            return;
        }
        final boolean expectsLatest = command instanceof Command.Revisioned revisioned
                && revisioned.expectedRevision() == Command.Revisioned.LATEST;
        final Command firstAttempt =
                expectsLatest ? ((Command.Revisioned) command).withExpectedRevision(NO_REVISION) : command;
        sendOrExpire(
                lastRequestId,
                new PendingCall(
                        new ChainClientMessage.WriteRequest(lastRequestId, address, firstAttempt),
                        true,
                        token,
                        now,
                        deadline - possibleWait,
                        expectsLatest,
                        0),
                now);
    }

    /** Reads the entries whose keys start with the prefix; the response for the token will be a {@link ReadResult}. */
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

    /**
     * Drops the command that was submitted with a token, as its caller has left: it is sent no more. A copy that is on its
     * way still takes effect if it expects the current revision, but the command isn't put on top of a newer one.
     */
    public void cancel(final long token) {
        for (final Map.Entry<Long, PendingCall> entry : List.copyOf(pendingCalls.entrySet())) {
            if (entry.getValue().token() == token
                    && entry.getValue().request() instanceof ChainClientMessage.WriteRequest write) {
                pendingCalls.remove(entry.getKey());
                drop(write.command().id(), "its caller has left", token);
            }
        }
    }

    private void drop(final String commandId, final String reason, final long token) {
        effects.add(new Effect.Log(Event.COMMAND_DROPPED, commandId + ": " + reason));
        effects.add(new Effect.Respond(token, new CommandResult.Unknown(commandId)));
    }

    /** Handles a reply of the head or the tail. */
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

    /** Responds with the result; retries a conflicting command that expects the latest revision with the revision of the rejection. */
    private void complete(final PendingCall call, final CommandResult result, final long now) {
        if (call.expectsLatest()
                && result instanceof CommandResult.Rejected r
                && r.code() == CONFLICT
                && call.request() instanceof ChainClientMessage.WriteRequest w
                && w.command() instanceof Command.Revisioned revisioned) {
            lastRequestId++;
            final Message retry = new ChainClientMessage.WriteRequest(
                    lastRequestId, address, revisioned.withExpectedRevision(r.sequence()));
            sendOrExpire(lastRequestId, new PendingCall(retry, true, call.token(), now, call.deadline(), true, 0), now);
        } else {
            effects.add(new Effect.Respond(call.token(), result));
        }
    }

    /** Handles a timer event: retries the calls that are due, or all calls if the view changed, and ends those past their deadline. */
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

    /** Returns the effects to carry out and removes them from the queue. */
    public List<Effect> drain() {
        final List<Effect> drained = List.copyOf(effects);
        effects.clear();
        return drained;
    }

    /** Sends a call, or responds that its outcome is unknown if the deadline has passed, for example while the process was frozen. */
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
