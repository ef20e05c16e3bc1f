package silverlatch.simulation.response;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.function.BiConsumer;
import silverlatch.dispatch.StreamRecord;
import silverlatch.util.Digests;

/**
 * Verifies the records of one response as a client receives them: chunks without gaps, of its own request and of one attempt,
 * with the text of {@link ExpectedResponse}, and a trailer that matches them. Each problem is reported as it is found.
 */
public final class ResponseVerifier {
    /** The kinds of problems of a response. */
    public enum Problem {
        /** A chunk follows the trailer or the record that the response is lost. */
        AFTER_END,
        /** A chunk is skipped or repeated. */
        WRONG_INDEX,
        /** A chunk or a trailer is of another request, or has another request's text. */
        OTHER_REQUEST,
        /** A chunk is of another attempt than the first chunk. */
        OTHER_ATTEMPT,
        /** The trailer doesn't match the received chunks, or chunks are missing. */
        WRONG_TRAILER
    }

    private final String prompt;
    private final BiConsumer<Problem, String> report;
    private final MessageDigest digest = Digests.newSha256();
    private String requestId = "";
    private String attemptId = "";
    private long nextChunk;
    private boolean trailerSeen;
    private boolean lost;

    /**
     * Creates a verifier of one response.
     *
     * @param prompt the prompt of the request
     * @param report receives each problem and its description
     */
    public ResponseVerifier(final String prompt, final BiConsumer<Problem, String> report) {
        this.prompt = prompt;
        this.report = report;
    }

    /** Sets the id that the gateway issued for the request. */
    public void requestIssued(final String id) {
        requestId = id;
    }

    /** Verifies the next record. */
    public void verify(final StreamRecord record) {
        switch (record) {
            case StreamRecord.Chunk chunk -> verifyChunk(chunk);
            case StreamRecord.Trailer trailer -> verifyTrailer(trailer);
            case StreamRecord.Lost end -> {
                lost = true;
                trailerSeen = false;
            }
        }
    }

    private void verifyChunk(final StreamRecord.Chunk chunk) {
        if (nextChunk == 0) {
            attemptId = chunk.attemptId();
        }
        if (trailerSeen || lost) {
            report.accept(Problem.AFTER_END, "a chunk after the end");
        }
        if (chunk.index() != nextChunk) {
            report.accept(Problem.WRONG_INDEX, "chunk " + chunk.index() + " where " + nextChunk + " was due");
        }
        if (!chunk.requestId().equals(requestId)) {
            report.accept(Problem.OTHER_REQUEST, "a chunk of request " + chunk.requestId());
        } else if (!chunk.attemptId().equals(attemptId)) {
            report.accept(Problem.OTHER_ATTEMPT, "a chunk of attempt " + chunk.attemptId() + " after " + attemptId);
        }
        if (!chunk.text().equals(ExpectedResponse.chunk(prompt, chunk.index()))) {
            report.accept(Problem.OTHER_REQUEST, "another request's text");
        }
        nextChunk = chunk.index() + 1;
        digest.update(chunk.text().getBytes(StandardCharsets.UTF_8));
    }

    private void verifyTrailer(final StreamRecord.Trailer trailer) {
        trailerSeen = true;
        if (nextChunk != ExpectedResponse.chunkCount(prompt)
                || trailer.chunkCount() != nextChunk
                || !trailer.sha256().equals(HexFormat.of().formatHex(digest.digest()))) {
            report.accept(Problem.WRONG_TRAILER, "a trailer that does not fit what came");
        }
        if (!trailer.requestId().equals(requestId)) {
            report.accept(Problem.OTHER_REQUEST, "a trailer of request " + trailer.requestId());
        }
    }

    /** Returns the attempt id of the first chunk, or an empty text before it. */
    public String attemptId() {
        return attemptId;
    }

    /** Returns the index of the next expected chunk, which is 0 before the first chunk. */
    public long nextChunk() {
        return nextChunk;
    }

    /** Returns whether the stream ended with a trailer. */
    public boolean isComplete() {
        return trailerSeen;
    }

    /** Returns whether the stream ended with the record that the response is lost. */
    public boolean isLost() {
        return lost;
    }
}
