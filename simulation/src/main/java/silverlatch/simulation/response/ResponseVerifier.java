package silverlatch.simulation.response;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.function.BiConsumer;
import silverlatch.dispatch.StreamRecord;
import silverlatch.util.Digests;

/**
 * Verifies the records of one response as a client gets them: chunks without gaps, of its own request and of one attempt,
 * with the text that {@link ExpectedResponse} gives, and a trailer that fits them. Each problem is reported as it is found.
 */
public final class ResponseVerifier {
    /** What can be wrong with a response. */
    public enum Problem {
        /** A chunk comes after the trailer or after the loss of the stream. */
        AFTER_END,
        /** A chunk is skipped or repeated. */
        WRONG_INDEX,
        /** A chunk or a trailer is of another request, or has another request's text. */
        OTHER_REQUEST,
        /** A chunk is of another attempt than the one before. */
        OTHER_ATTEMPT,
        /** The trailer doesn't fit the chunks that came, or they aren't all. */
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
     * A verifier of one response.
     *
     * @param prompt what was asked
     * @param report is called with each problem and its description
     */
    public ResponseVerifier(final String prompt, final BiConsumer<Problem, String> report) {
        this.prompt = prompt;
        this.report = report;
    }

    /** The request got its id. */
    public void requestIssued(final String id) {
        requestId = id;
    }

    /** Takes the next record. */
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

    /** The attempt that the first chunk names, or an empty text. */
    public String attemptId() {
        return attemptId;
    }

    /** The index of the chunk that is due next; 0 until the first came. */
    public long nextChunk() {
        return nextChunk;
    }

    /** Whether the stream ended with a trailer. */
    public boolean isComplete() {
        return trailerSeen;
    }

    /** Whether the stream ended with the word that the response is lost. */
    public boolean isLost() {
        return lost;
    }
}
