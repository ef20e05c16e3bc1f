package silverlatch.simulation.worker;

import java.util.List;
import java.util.Optional;
import silverlatch.dispatch.StreamRecord;
import silverlatch.simulation.response.ExpectedResponse;

/**
 * The records that a simulated worker sends for one attempt, correct or wrong as its {@link WorkerFault} says. The fault may
 * change while the response is in flight.
 *
 * @param worker    the worker's name, which the trailer contains
 * @param requestId the id of the request
 * @param attemptId the id of the attempt
 * @param prompt    the prompt, which determines the text and the number of the chunks
 */
public record ScriptedResponse(String worker, String requestId, String attemptId, String prompt) {
    /** The index of the chunk that is skipped, repeated, garbage or of another request under the fault of that kind. */
    private static final int WRONG_CHUNK = 1;

    private static final int CHUNKS_BEFORE_DROP = 2;

    /** Returns the number of chunks of the complete response. */
    public int chunkCount() {
        return ExpectedResponse.chunkCount(prompt);
    }

    /** Returns whether the connection is dropped before the chunk of this index, without a trailer. */
    public boolean isDropped(final WorkerFault fault, final int index) {
        return fault == WorkerFault.DROP && index == CHUNKS_BEFORE_DROP;
    }

    /** Returns the records that are sent for the chunk of an index: none, one or two. */
    public List<StreamRecord> chunk(final WorkerFault fault, final int index) {
        final boolean isWrong = index == WRONG_CHUNK;
        final String owner = fault == WorkerFault.FOREIGN && isWrong ? requestId + "x" : requestId;
        final StreamRecord chunk =
                new StreamRecord.Chunk(owner, attemptId, index, ExpectedResponse.chunk(prompt, index));
        if (fault == WorkerFault.GAP && isWrong) {
            return List.of();
        }
        return fault == WorkerFault.REPEAT && isWrong ? List.of(chunk, chunk) : List.of(chunk);
    }

    /** Returns whether a line that isn't JSON is sent instead of the chunk of an index. */
    public boolean isGarbage(final WorkerFault fault, final int index) {
        return fault == WorkerFault.GARBAGE && index == WRONG_CHUNK;
    }

    /** Returns the trailer that follows the last chunk, or empty if none is sent. */
    public Optional<StreamRecord> trailer(final WorkerFault fault) {
        final int count = chunkCount();
        final int hashed = fault == WorkerFault.WRONGSEAL ? Math.max(0, count - 1) : count;
        return fault == WorkerFault.NOSEAL
                ? Optional.empty()
                : Optional.of(new StreamRecord.Trailer(
                        worker, requestId, attemptId, count, ExpectedResponse.sha256(prompt, hashed)));
    }
}
