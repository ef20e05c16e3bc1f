package silverlatch.dispatch;

/** A record of a response stream, which consists of chunks followed by either a trailer or a lost record. */
public sealed interface StreamRecord {
    /**
     * A chunk of the response's text.
     *
     * @param requestId the request's id
     * @param attemptId the id of the attempt that the worker runs
     * @param index     the number of chunks before this one
     * @param text      the text
     */
    record Chunk(String requestId, String attemptId, long index, String text) implements StreamRecord {}

    /**
     * The worker's confirmation that the response is complete.
     *
     * @param worker     the worker's id
     * @param requestId  the request's id
     * @param attemptId  the attempt's id
     * @param chunkCount the number of chunks
     * @param sha256     the SHA-256 digest of the chunks' text in UTF-8, in hexadecimal digits
     */
    record Trailer(String worker, String requestId, String attemptId, long chunkCount, String sha256)
            implements StreamRecord {}

    /** The end of a stream without a trailer: the request may have run, and is not retried. */
    record Lost(String requestId, String reason) implements StreamRecord {}
}
