package silverlatch.replication;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import silverlatch.clock.PauseDetector;
import silverlatch.node.Effect;
import silverlatch.node.Event;
import silverlatch.safeguard.Safeguard;
import silverlatch.safeguard.Safeguards;
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
     * How long a caller without a revision must have stayed connected before its command is put on the newest one. A command that the
     * network held back is followed by the close of its connection, at most one retransmission and one round trip later.
     */
    private static final long CALLER_PRESENCE_MICROS = 300_000L;

    /**
     * The additional retry delay of a configuration document, in microseconds per character. It doubles with each retry, as the previous
     * copy may still be in flight.
     */
    private static final long RETRY_MICROS_PER_CHARACTER = 4;

    private static final int MAX_DOUBLINGS = 6;

    private final String address;
    private final Supplier<View> currentView;
    private final PauseDetector pauses;
    private final Safeguards safeguards;
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
            final PauseDetector pauses,
            final Safeguards safeguards) {
        this.address = address;
        this.currentView = currentView;
        this.pauses = pauses;
        this.safeguards = safeguards;
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
     * for a caller that may have given up before the pause ended and sent other commands since. A command without a revision of its
     * own learns the newest one first, and is put on that only if its caller hasn't left by then; see {@link #cancel}.
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
        final boolean expectsLatest = Command.Revisioned.isOnLatest(command);
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
                        expectsLatest ? Optional.of(now) : Optional.empty(),
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
                        Optional.empty(),
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

    /**
     * Responds with the result; puts a conflicting command that expects the latest revision on the revision of the rejection, once its
     * caller has stayed for long enough.
     */
    private void complete(final PendingCall call, final CommandResult result, final long now) {
        if (call.latestSince().isPresent()
                && result instanceof CommandResult.Rejected r
                && r.code() == CONFLICT
                && call.request() instanceof ChainClientMessage.WriteRequest w
                && w.command() instanceof Command.Revisioned revisioned) {
            lastRequestId++;
            final Message retry = new ChainClientMessage.WriteRequest(
                    lastRequestId, address, revisioned.withExpectedRevision(r.sequence()));
            final long sendAt = call.latestSince().get() + callerPresence();
            final PendingCall next = new PendingCall(
                    retry, true, call.token(), sendAt, call.deadline(), call.latestSince(), PendingCall.NOT_SENT);
            if (now < sendAt || pauses.possibleWait(now) > 0) {
                pendingCalls.put(lastRequestId, next);
            } else {
                sendOrExpire(lastRequestId, next, now);
            }
        } else {
            effects.add(new Effect.Respond(call.token(), result));
        }
    }

    private long callerPresence() {
        return safeguards.isEnabled(Safeguard.CALLER_PRESENCE) ? CALLER_PRESENCE_MICROS : 0;
    }

    /** Handles a timer event: retries the calls that are due, or all calls if the view changed, and ends those past their deadline. */
    public void tick(final long now) {
        final boolean viewChanged = currentView.get().number() != lastViewNumber;
        lastViewNumber = currentView.get().number();
        for (final Map.Entry<Long, PendingCall> entry : List.copyOf(pendingCalls.entrySet())) {
            final PendingCall call = entry.getValue();
            if (now >= call.deadline() || isDue(call, viewChanged, now)) {
                sendOrExpire(entry.getKey(), call.withRetry(), now);
            }
        }
    }

    /** Returns whether a call that waits for its caller is to be sent now, or one that was sent is to be sent again. */
    private boolean isDue(final PendingCall call, final boolean viewChanged, final long now) {
        final boolean isCloseRead = pauses.possibleWait(now) == 0;
        return call.isSent()
                ? viewChanged || now - call.sentAt() >= retryDelay(call)
                : now >= call.sentAt() && isCloseRead;
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
                        call.latestSince(),
                        Math.max(0, call.retries())));
        final View view = currentView.get();
        (call.isWrite() ? view.head() : view.tail())
                .ifPresent(replica -> effects.add(new Effect.Send(replica.address(), call.request())));
    }

    /**
     * A call that has no response yet.
     *
     * @param sentAt      when it was sent last or, if it wasn't yet, when it is to be sent
     * @param latestSince when a command that expects the latest revision was submitted; empty for all others
     * @param retries     how often it was sent again; {@link #NOT_SENT} before it was sent
     */
    private record PendingCall(
            Message request,
            boolean isWrite,
            long token,
            long sentAt,
            long deadline,
            Optional<Long> latestSince,
            int retries) {
        private static final int NOT_SENT = -1;

        boolean isSent() {
            return retries > NOT_SENT;
        }

        PendingCall withRetry() {
            return new PendingCall(request, isWrite, token, sentAt, deadline, latestSince, retries + 1);
        }
    }
}
