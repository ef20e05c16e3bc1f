package silverlatch.dispatch;

import java.util.List;
import java.util.Optional;
import silverlatch.dispatch.permit.Permit;
import silverlatch.state.Value;
import silverlatch.util.Digests;

/**
 * A request that is open, or that has ended and is retained so that clients can read its response again. Its state is changed
 * only by {@link RequestLifecycle#transition}. Used only by the dispatch event loop; times are readings of the monotonic clock
 * in microseconds.
 */
final class DispatchedRequest {
    /** The prompt length that adds 1 to a request's cost, which is as much as the request itself costs. */
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

    /** Creates a request that was just submitted with a valid permit by the given call. */
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

    /** Returns the request's id, which is part of its permit. */
    String id() {
        return permit.requestId();
    }

    /** Returns the permit that the request was submitted with. */
    Permit permit() {
        return permit;
    }

    /** Returns the tenant as it was configured when the request was submitted. */
    Value.Tenant tenant() {
        return tenant;
    }

    /** Returns the limits and weights that were configured when the request was submitted. */
    Value.Row row() {
        return row;
    }

    /** Returns the salted digests of the prompt's prefixes, shortest first. */
    List<Long> prefixDigests() {
        return prefixDigests;
    }

    /** Returns the time at which the client's timeout ends. */
    long deadline() {
        return deadline;
    }

    /** Returns the time at which the request is rejected if it still waits in a queue. */
    long queueDeadline() {
        return queueDeadline;
    }

    /** Returns the records that the worker has sent. */
    ResponseStream response() {
        return response;
    }

    /** Returns the client's side of the response stream. */
    StreamReader reader() {
        return reader;
    }

    /** Returns the current state. */
    RequestState state() {
        return state;
    }

    /**
     * Applies an event to the state. Called only by {@link RequestLifecycle}.
     *
     * @throws IllegalRequestTransitionException if the event is illegal in the current state
     */
    void apply(final RequestEvent event) {
        state = state.after(event);
    }

    /**
     * Sets the state of a running request back to STARTING, so that it can be retried although it may have run. Reached only
     * when a test has disabled {@link silverlatch.safeguard.Safeguard#NO_RETRY_AFTER_START}.
     */
    void revertToStarting() {
        state = RequestState.STARTING;
    }

    /** Returns the prompt that is sent to the worker; empty once the request has ended. */
    String prompt() {
        return prompt;
    }

    /** Frees the prompt of an ended request. */
    void clearPrompt() {
        prompt = "";
    }

    /** Returns the request's cost in the weighted fair order; a request without a prompt costs 1. */
    double cost() {
        return 1 + prompt.length() / BYTES_PER_COST_UNIT;
    }

    /** Returns why the request was rejected or lost, or an empty string. */
    String reason() {
        return reason;
    }

    /** Sets the reason for which the request is rejected or lost. */
    void setReason(final String newReason) {
        reason = newReason;
    }

    /** Returns the worker that the placement chose, unless that choice is stale. */
    Optional<String> preferredWorker() {
        return preferredWorker;
    }

    /** Sets the worker to prefer, or clears it. */
    void setPreferredWorker(final Optional<String> workerId) {
        preferredWorker = workerId;
    }

    /** Returns the worker that was assigned last, or an empty string before the first. */
    String worker() {
        return worker;
    }

    /** Returns whether the request holds a slot of its worker. */
    boolean holdsWorkerSlot() {
        return holdsWorkerSlot;
    }

    /** Assigns a worker, of which the request holds a slot from now on. */
    void assignWorker(final String workerId) {
        worker = workerId;
        holdsWorkerSlot = true;
    }

    /** Marks the worker slot as no longer held. */
    void releaseWorkerSlot() {
        holdsWorkerSlot = false;
    }

    /** Records a new attempt and generates its id. */
    void startAttempt(final long now) {
        attempts++;
        attemptStartedAt = now;
        attemptId = id() + "." + attempts;
    }

    /** Returns the id of the newest attempt, unique in the cluster; empty before the first attempt. */
    String attemptId() {
        return attemptId;
    }

    /** Returns how many attempts were started. */
    int attempts() {
        return attempts;
    }

    /** Returns when the newest attempt was started. */
    long attemptStartedAt() {
        return attemptStartedAt;
    }

    /** Returns the request's handle in the {@link RequestTable}. */
    long handle() {
        return handle;
    }

    /** Sets the handle. Called by the {@link RequestTable} when the request is added. */
    void setHandle(final long newHandle) {
        handle = newHandle;
    }

    /** Returns the id of the newest operation (a claim or an attempt); events of earlier operations are ignored. */
    long operationId() {
        return operationId;
    }

    /** Sets the operation id. Called by the {@link RequestTable} when an operation begins. */
    void setOperationId(final long newOperationId) {
        operationId = newOperationId;
    }

    /** Returns the key under which the idempotency key is claimed: a digest of the tenant and the idempotency key. */
    String claimKey() {
        return Digests.sha256Hex(permit.tenant() + "|" + permit.idempotencyKey());
    }

    /**
     * Returns whether the replicated state may hold a claim for this request. If so, the claim has to be completed when the
     * request ends.
     */
    boolean mayHoldClaim() {
        return mayHoldClaim;
    }

    /** Records that the replicated state has committed, or may have committed, the request's claim. */
    void markMayHoldClaim() {
        mayHoldClaim = true;
    }

    /** Returns the timestamp of the request's claim, by the cluster's clock. */
    long claimTimestamp() {
        return claimTimestamp;
    }

    /** Sets the timestamp of the claim when it is submitted. */
    void setClaimTimestamp(final long timestamp) {
        claimTimestamp = timestamp;
    }
}
