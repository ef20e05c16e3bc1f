package silverlatch.dispatch;

/** One record of a stream. */
public sealed interface StreamRecord {
    /** A piece of the reply. */
    record Chunk(String requestId, String attemptId, long index, String text) implements StreamRecord {}

    /** The worker's seal over the whole reply. */
    record Trailer(String worker, String requestId, String attemptId, long chunkCount, String sha256)
            implements StreamRecord {}

    /** The stream ended without a seal; the ticket began or may have begun, and is never repeated. */
    record Lost(String requestId, String reason) implements StreamRecord {}
}
