package silverlatch.dispatch;

/** An event that moves a request from one {@link RequestState} to the next. */
enum RequestEvent {
    /** The request was admitted and now waits for a worker. */
    ENQUEUE,
    /** A worker was chosen, and the claim of the request's idempotency key is submitted before the attempt. */
    CLAIM,
    /** An attempt is sent to the chosen worker. */
    START_ATTEMPT,
    /** The worker certainly did not run the request, which goes back to its queue. */
    RETRY,
    /** The worker indicated that it runs the request. */
    RUN,
    /** The worker's trailer was received and matches the response. */
    COMPLETE,
    /** The request did not run and never will. */
    REJECT,
    /** The request may have run, and its response cannot be completed. */
    LOSE
}
