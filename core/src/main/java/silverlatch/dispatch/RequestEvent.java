package silverlatch.dispatch;

/** What moves a request from one {@link RequestState} to the next. */
enum RequestEvent {
    /** It was admitted and waits for a worker. */
    ENQUEUE,
    /** A worker is chosen; its idempotency key is being claimed first. */
    CLAIM,
    /** A worker is asked to run it. */
    START_ATTEMPT,
    /** The worker surely did not run it, and it waits for another one. */
    RETRY,
    /** The worker gave a sign that it runs it. */
    RUN,
    /** The worker's trailer came and matched. */
    COMPLETE,
    /** It did not run and never will. */
    REJECT,
    /** It may have run, and its response can't be completed. */
    LOSE
}
