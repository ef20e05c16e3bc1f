package silverlatch.dispatch;

/** One record of a response stream. A stream has chunks, and ends with a trailer or as lost. */
public sealed interface StreamRecord {
    /**
     * A piece of the response.
     *
     * @param requestId the request
     * @param attemptId the attempt that the worker runs
     * @param index     how many chunks came before it
     * @param text      its text
     */
    record Chunk(String requestId, String attemptId, long index, String text) implements StreamRecord {}

    /**
     * The worker's statement that the response is complete.
     *
     * @param worker     the worker's id
     * @param requestId  the request
     * @param attemptId  the attempt
     * @param chunkCount how many chunks there were
     * @param sha256     SHA-256 of the chunks' text in UTF-8, in hexadecimal digits
     */
    record Trailer(String worker, String requestId, String attemptId, long chunkCount, String sha256)
            implements StreamRecord {}

    /** The stream ended without a trailer; the request may have run, and is not retried. */
    record Lost(String requestId, String reason) implements StreamRecord {}
}
