package silverlatch.dispatch;

import java.util.Optional;
import silverlatch.safeguard.Safeguard;
import silverlatch.safeguard.Safeguards;

/**
 * Checks that the records from a worker follow the protocol: chunks of this request and attempt, numbered without gap or
 * repetition, followed by a trailer whose chunk count and digest match them.
 */
final class ResponseChecker {
    private final Safeguards safeguards;

    ResponseChecker(final Safeguards safeguards) {
        this.safeguards = safeguards;
    }

    /** Returns why a record is invalid as the next one of a request's response, or empty if it is valid. */
    Optional<String> violation(final DispatchedRequest request, final StreamRecord received) {
        return switch (received) {
            case StreamRecord.Chunk chunk -> violation(request, chunk);
            case StreamRecord.Trailer trailer ->
                safeguards.isEnabled(Safeguard.TRAILER_DIGEST) ? violation(request, trailer) : Optional.empty();
            case StreamRecord.Lost lost -> Optional.of(lost.reason());
        };
    }

    private Optional<String> violation(final DispatchedRequest request, final StreamRecord.Chunk chunk) {
        if (safeguards.isEnabled(Safeguard.STREAM_IDENTITY)
                && !chunk.requestId().equals(request.id())) {
            return Optional.of("a chunk of another request");
        }
        if (safeguards.isEnabled(Safeguard.STREAM_IDENTITY)
                && !chunk.attemptId().equals(request.attemptId())) {
            return Optional.of("a piece of another run");
        }
        final int expectedIndex = request.response().size();
        if (safeguards.isEnabled(Safeguard.STREAM_ORDER) && chunk.index() != expectedIndex) {
            return Optional.of("piece " + chunk.index() + " where " + expectedIndex + " was due");
        }
        return Optional.empty();
    }

    private static Optional<String> violation(final DispatchedRequest request, final StreamRecord.Trailer trailer) {
        if (!trailer.requestId().equals(request.id())
                || !trailer.attemptId().equals(request.attemptId())
                || !trailer.worker().equals(request.worker())) {
            return Optional.of("a seal of another request, run or worker");
        }
        final int chunks = request.response().size();
        if (trailer.chunkCount() != chunks) {
            return Optional.of("a seal over " + trailer.chunkCount() + " pieces where " + chunks + " came");
        }
        return trailer.sha256().equals(request.response().sha256())
                ? Optional.empty()
                : Optional.of("a seal that does not fit");
    }
}
