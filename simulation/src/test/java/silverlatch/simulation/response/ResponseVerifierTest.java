package silverlatch.simulation.response;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import silverlatch.dispatch.StreamRecord;
import silverlatch.simulation.response.ResponseVerifier.Problem;

/** Checks that each kind of problem of a response is reported, and none for a correct response. */
final class ResponseVerifierTest {
    private static final String PROMPT = "2 tenant asks";
    private final List<Problem> problems = new ArrayList<>();
    private final ResponseVerifier verifier = new ResponseVerifier(PROMPT, (problem, what) -> problems.add(problem));

    ResponseVerifierTest() {
        verifier.requestIssued("request");
    }

    private static StreamRecord chunk(final String request, final String attempt, final long index) {
        return new StreamRecord.Chunk(request, attempt, index, ExpectedResponse.chunk(PROMPT, index));
    }

    private static StreamRecord trailer(final String request, final int count) {
        return new StreamRecord.Trailer("worker", request, "attempt", count, ExpectedResponse.sha256(PROMPT, count));
    }

    private void take(final StreamRecord... records) {
        List.of(records).forEach(verifier::verify);
    }

    @Test
    void correctResponseIsComplete() {
        take(chunk("request", "attempt", 0), chunk("request", "attempt", 1), trailer("request", 2));
        assertThat(problems, empty());
        assertThat(verifier.isComplete(), is(true));
        assertThat(verifier.attemptId(), is("attempt"));
        assertThat(verifier.nextChunk(), is(2L));
    }

    @Test
    void skippedOrRepeatedChunkIsReported() {
        take(chunk("request", "attempt", 1), chunk("request", "attempt", 1));
        assertThat(problems, contains(Problem.WRONG_INDEX, Problem.WRONG_INDEX));
    }

    @Test
    void chunksOfAnotherRequestOrAttemptOrTextAreReported() {
        take(
                chunk("other", "attempt", 0),
                chunk("request", "other", 1),
                new StreamRecord.Chunk("request", "attempt", 2, "other text"));
        assertThat(problems, contains(Problem.OTHER_REQUEST, Problem.OTHER_ATTEMPT, Problem.OTHER_REQUEST));
    }

    @Test
    void earlyTrailerAndTrailerOfAnotherRequestAreReported() {
        take(chunk("request", "attempt", 0), trailer("other", 1));
        assertThat(problems, contains(Problem.WRONG_TRAILER, Problem.OTHER_REQUEST));
    }

    @Test
    void trailerWithWrongDigestIsReported() {
        take(
                chunk("request", "attempt", 0),
                chunk("request", "attempt", 1),
                new StreamRecord.Trailer("worker", "request", "attempt", 2, ExpectedResponse.sha256(PROMPT, 1)));
        assertThat(problems, contains(Problem.WRONG_TRAILER));
    }

    @Test
    void chunkAfterTheEndIsReported() {
        take(chunk("request", "attempt", 0), new StreamRecord.Lost("request", "why"), chunk("request", "attempt", 1));
        assertThat(problems, contains(Problem.AFTER_END));
        assertThat(verifier.isLost(), is(true));
        assertThat(verifier.isComplete(), is(false));
    }
}
