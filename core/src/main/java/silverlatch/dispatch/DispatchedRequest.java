package silverlatch.dispatch;

import java.util.List;
import java.util.Optional;
import silverlatch.dispatch.permit.Permit;
import silverlatch.state.Value;
import silverlatch.util.Digests;

/**
 * A request under way, or ended and kept so that its stream can be read again. Its state changes only by
 * {@link RequestLifecycle#transition}. Owned by the dispatch event loop; times in microseconds.
 */
final class DispatchedRequest {
    /** Bytes of prompt that count as much as the request itself in the fair order. */
    private static final double BYTES_PER_COST_UNIT = 4096.0;

    private final Permit permit;
    private final Value.Tenant tenant;
    private final Value.Row row;
    private final List<Long> prefixDigests;
    private final long deadline;
    private final long queueDeadline;
    private final ResponseStream response = new ResponseStream();
    private final StreamReader reader;
    private RequestState state = RequestState.NEW;
    private String prompt;
    private String reason = "";
    private Optional<String> preferredWorker = Optional.empty();
    private String worker = "";
    private boolean holdsWorkerSlot;
    private String attemptId = "";
    private int attempts;
    private long attemptStartedAt;
    private long handle;
    private long operationId;
    private boolean mayHoldClaim;
    private long claimTimestamp;

    /** A request that was just submitted with a valid permit. */
    DispatchedRequest(
            final Permit permit,
            final Value.Tenant tenant,
            final Value.Row row,
            final SubmittedRequest submitted,
            final List<Long> prefixDigests,
            final long callId,
            final long now) {
        this.permit = permit;
        this.tenant = tenant;
        this.row = row;
        this.prefixDigests = prefixDigests;
        this.prompt = submitted.prompt();
        this.deadline = now + submitted.timeout();
        this.queueDeadline = now + Math.min(row.timeoutMicros(), submitted.timeout());
        this.reader = new StreamReader(callId);
    }

    /** Its id, which its permit names. */
    String id() {
        return permit.requestId();
    }

    /** The permit that it was submitted with. */
    Permit permit() {
        return permit;
    }

    /** Its tenant as it was when the request was submitted. */
    Value.Tenant tenant() {
        return tenant;
    }

    /** The limits and weights that held when the request was submitted. */
    Value.Row row() {
        return row;
    }

    /** Salted digests of its prefix, shortest first. */
    List<Long> prefixDigests() {
        return prefixDigests;
    }

    /** When the client stops waiting, by the monotonic clock. */
    long deadline() {
        return deadline;
    }

    /** When it is rejected if no worker has taken it, by the monotonic clock. */
    long queueDeadline() {
        return queueDeadline;
    }

    /** What the worker sent. */
    ResponseStream response() {
        return response;
    }

    /** Who reads the response. */
    StreamReader reader() {
        return reader;
    }

    /** Where it stands. */
    RequestState state() {
        return state;
    }

    /**
     * Moves it on; called by {@link RequestLifecycle} only.
     *
     * @throws IllegalRequestTransitionException if the state does not take the event
     */
    void apply(final RequestEvent event) {
        state = state.after(event);
    }

    /** Makes a run count as not begun: what a test sees that lets down {@link silverlatch.safeguard.Safeguard#NO_RETRY_AFTER_START}. */
    void revertToStarting() {
        state = RequestState.STARTING;
    }

    /** What the worker is to read; empty once the request has ended. */
    String prompt() {
        return prompt;
    }

    /** Lets go of the prompt of an ended request. */
    void clearPrompt() {
        prompt = "";
    }

    /** Its cost in the weighted fair order, where 1 is a request without a prompt. */
    double cost() {
        return 1 + prompt.length() / BYTES_PER_COST_UNIT;
    }

    /** Why it ended as it did, or empty. */
    String reason() {
        return reason;
    }

    /** Says why it ends. */
    void setReason(final String newReason) {
        reason = newReason;
    }

    /** The worker that its placement named, unless that became stale. */
    Optional<String> preferredWorker() {
        return preferredWorker;
    }

    /** Sets or forgets the worker that it should go to. */
    void setPreferredWorker(final Optional<String> workerId) {
        preferredWorker = workerId;
    }

    /** The worker of its newest attempt, or empty. */
    String worker() {
        return worker;
    }

    /** Whether one of the slots of its worker is counted for it. */
    boolean holdsWorkerSlot() {
        return holdsWorkerSlot;
    }

    /** A slot of a worker is counted for it from now on. */
    void assignWorker(final String workerId) {
        worker = workerId;
        holdsWorkerSlot = true;
    }

    /** No slot is counted for it any more. */
    void releaseWorkerSlot() {
        holdsWorkerSlot = false;
    }

    /** A worker is asked to run it. */
    void startAttempt(final long now) {
        attempts++;
        attemptStartedAt = now;
        attemptId = id() + "." + attempts;
    }

    /** The id of its newest attempt, unique in the cluster; empty before the first. */
    String attemptId() {
        return attemptId;
    }

    /** How many attempts were made. */
    int attempts() {
        return attempts;
    }

    /** When the newest attempt was made, by the monotonic clock. */
    long attemptStartedAt() {
        return attemptStartedAt;
    }

    /** Its handle in the {@link RequestTable}. */
    long handle() {
        return handle;
    }

    /** Set by the {@link RequestTable} when it takes the request in. */
    void setHandle(final long newHandle) {
        handle = newHandle;
    }

    /** The operation (a claim or an attempt) that it waits for; events of earlier ones are ignored. */
    long operationId() {
        return operationId;
    }

    /** Set by the {@link RequestTable} when an operation begins. */
    void setOperationId(final long newOperationId) {
        operationId = newOperationId;
    }

    /** The key under which its idempotency key is claimed. */
    String claimKey() {
        return Digests.sha256Hex(permit.tenant() + "|" + permit.idempotencyKey());
    }

    /** Whether the chain may hold a claim for it, which has to be completed when it ends. */
    boolean mayHoldClaim() {
        return mayHoldClaim;
    }

    /** The chain has, or may have, committed its claim. */
    void markMayHoldClaim() {
        mayHoldClaim = true;
    }

    /** The timestamp of its claim. */
    long claimTimestamp() {
        return claimTimestamp;
    }

    /** Set when the claim is submitted. */
    void setClaimTimestamp(final long timestamp) {
        claimTimestamp = timestamp;
    }
}
