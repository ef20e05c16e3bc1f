package silverlatch.simulation.worker;

import java.util.List;
import java.util.Optional;
import silverlatch.dispatch.StreamRecord;
import silverlatch.simulation.response.ExpectedResponse;

/**
 * The records that a stand-in worker sends for one attempt, right or wrong as its {@link WorkerFault} says. The fault may
 * change while the response is under way.
 *
 * @param worker    the worker's name, as the trailer tells it
 * @param requestId the request
 * @param attemptId the attempt
 * @param prompt    decides the text and the count of the chunks
 */
public record ScriptedResponse(String worker, String requestId, String attemptId, String prompt) {
    /** The chunk that is skipped, repeated or another request's under a fault that says so. */
    private static final int WRONG_CHUNK = 1;

    private static final int CHUNKS_BEFORE_DROP = 2;

    /** How many chunks the whole response has. */
    public int chunkCount() {
        return ExpectedResponse.chunkCount(prompt);
    }

    /** Whether the connection is dropped before the chunk of this index, without a trailer. */
    public boolean isDropped(final WorkerFault fault, final int index) {
        return fault == WorkerFault.DROP && index == CHUNKS_BEFORE_DROP;
    }

    /** The records for the chunk of an index: one, none or two. */
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

    /** Whether the chunk of an index is sent as a line that is no JSON. */
    public boolean isGarbage(final WorkerFault fault, final int index) {
        return fault == WorkerFault.GARBAGE && index == WRONG_CHUNK;
    }

    /** The trailer behind the last chunk, if one is sent. */
    public Optional<StreamRecord> trailer(final WorkerFault fault) {
        final int count = chunkCount();
        final int hashed = fault == WorkerFault.WRONGSEAL ? Math.max(0, count - 1) : count;
        return fault == WorkerFault.NOSEAL
                ? Optional.empty()
                : Optional.of(new StreamRecord.Trailer(
                        worker, requestId, attemptId, count, ExpectedResponse.sha256(prompt, hashed)));
    }
}
