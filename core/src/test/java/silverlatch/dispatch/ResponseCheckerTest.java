package silverlatch.dispatch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import silverlatch.clock.Stamp;
import silverlatch.dispatch.permit.Permit;
import silverlatch.safeguard.Safeguards;
import silverlatch.state.TableRules;
import silverlatch.state.Value;
import silverlatch.util.Digests;

/**
 * Guards against accepting records that do not belong to the response: a worker may send chunks of another request or attempt,
 * skip or repeat a chunk, or send a trailer that does not match the chunks received.
 */
final class ResponseCheckerTest {
    private final ResponseChecker checker = new ResponseChecker(Safeguards.ALL);
    private final DispatchedRequest request = request();

    private static DispatchedRequest request() {
        final Permit permit = new Permit("r1", "one", "ask", "w1", "p1", 1, 1, new Stamp(1), 9, "");
        final DispatchedRequest request = new DispatchedRequest(
                permit,
                new Value.Tenant("one", List.of(), 1, "hash", "salt"),
                TableRules.defaultRow("*", "ask"),
                new SubmittedRequest("", "", List.of(), "", 1_000_000),
                List.of(),
                1,
                0);
        request.assignWorker("w1");
        request.startAttempt(0);
        request.response().append(new StreamRecord.Chunk("r1", "r1.1", 0, "a\u00fc"));
        return request;
    }

    private String violation(final StreamRecord received) {
        return checker.violation(request, received).orElse("none");
    }

    @Test
    void acceptsTheNextChunkAndATrailerThatCoversAllChunks() {
        assertThat(violation(new StreamRecord.Chunk("r1", "r1.1", 1, "b")), is("none"));
        final String sha256 = Digests.sha256Hex("a\u00fc");
        assertThat(request.response().sha256(), is(sha256));
        assertThat(violation(new StreamRecord.Trailer("w1", "r1", "r1.1", 1, sha256)), is("none"));
        assertThat("reading the digest does not change it", request.response().sha256(), is(sha256));
    }

    @Test
    void rejectsAChunkOfAnotherRequestOrAttemptOrIndex() {
        assertThat(violation(new StreamRecord.Chunk("r2", "r1.1", 1, "b")), containsString("request"));
        assertThat(violation(new StreamRecord.Chunk("r1", "r1.2", 1, "b")), containsString("run"));
        assertThat(violation(new StreamRecord.Chunk("r1", "r1.1", 0, "b")), containsString("0 where 1"));
        assertThat(violation(new StreamRecord.Chunk("r1", "r1.1", 2, "b")), containsString("2 where 1"));
    }

    @Test
    void rejectsATrailerOfAnotherWorkerRequestAttemptCountOrText() {
        final String sha256 = Digests.sha256Hex("a\u00fc");
        assertThat(violation(new StreamRecord.Trailer("w2", "r1", "r1.1", 1, sha256)), containsString("worker"));
        assertThat(violation(new StreamRecord.Trailer("w1", "r2", "r1.1", 1, sha256)), containsString("request"));
        assertThat(violation(new StreamRecord.Trailer("w1", "r1", "r1.2", 1, sha256)), containsString("run"));
        assertThat(violation(new StreamRecord.Trailer("w1", "r1", "r1.1", 2, sha256)), containsString("1 came"));
        assertThat(
                violation(new StreamRecord.Trailer("w1", "r1", "r1.1", 1, Digests.sha256Hex("au"))),
                containsString("does not fit"));
    }

    @Test
    void treatsALostRecordAsAViolationWithItsReason() {
        assertThat(checker.violation(request, new StreamRecord.Lost("r1", "gone")), is(Optional.of("gone")));
    }
}
