package silverlatch.simulation.worker;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import silverlatch.simulation.response.ResponseVerifier;

/** Checks that a simulated worker's response is correct without a fault, and wrong in the way of its fault otherwise. */
final class ScriptedResponseTest {
    private static final ScriptedResponse RESPONSE = new ScriptedResponse("worker", "request", "attempt", "4 prompt");

    private static Set<ResponseVerifier.Problem> problems(final WorkerFault fault) {
        final Set<ResponseVerifier.Problem> problems = new HashSet<>();
        final ResponseVerifier verifier =
                new ResponseVerifier(RESPONSE.prompt(), (problem, what) -> problems.add(problem));
        verifier.requestIssued(RESPONSE.requestId());
        for (int index = 0; index < RESPONSE.chunkCount() && !RESPONSE.isDropped(fault, index); index++) {
            RESPONSE.chunk(fault, index).forEach(verifier::verify);
        }
        RESPONSE.trailer(fault).ifPresent(verifier::verify);
        return problems;
    }

    @Test
    void responseWithoutFaultHasNoProblems() {
        assertThat(problems(WorkerFault.NONE), is(Set.of()));
    }

    @ParameterizedTest
    @CsvSource({
        "GAP, WRONG_INDEX",
        "REPEAT, WRONG_INDEX",
        "FOREIGN, OTHER_REQUEST",
        "WRONGSEAL, WRONG_TRAILER",
        "DROP, WRONG_TRAILER"
    })
    void eachFaultIsReported(final WorkerFault fault, final ResponseVerifier.Problem problem) {
        assertThat(problems(fault), hasItem(problem));
    }

    @Test
    void faultsCanOmitTheTrailerOrSendGarbage() {
        assertThat(RESPONSE.trailer(WorkerFault.NOSEAL).isPresent(), is(false));
        assertThat(RESPONSE.isGarbage(WorkerFault.GARBAGE, 1), is(true));
        assertThat(RESPONSE.isGarbage(WorkerFault.NONE, 1), is(false));
    }

    @Test
    void leastRecentlyUsedPrefixIsEvictedFirst() {
        final PrefixCache cache = new PrefixCache(2);
        assertThat(cache.admit(List.of(1L, 2L)), is(2L));
        assertThat(cache.admit(List.of(1L, 3L)), is(1L));
        assertThat(cache.digests(), is(List.of(1L, 3L)));
    }
}
