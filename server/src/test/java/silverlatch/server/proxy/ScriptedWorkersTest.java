package silverlatch.server.proxy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.util.EnumSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against responses that reach the wrong client and requests that are executed twice. Clients and workers around the proxy
 * behave at random, by seed, and {@link ExchangeChecker} compares what each of them sent and received. Set the number of seeds with
 * {@code -Dsilverlatch.scripted.seeds=N}, and the first seed with {@code -Dsilverlatch.scripted.first=N}.
 */
final class ScriptedWorkersTest {
    private static final int FIRST_SEED = Integer.getInteger("silverlatch.scripted.first", 1);
    private static final int SEEDS = Integer.getInteger("silverlatch.scripted.seeds", 3);
    private static final int MAX_SEEDS_PER_SAFEGUARD = 20;

    @Test
    void everyClientGetsOnlyItsOwnResponseAndNoNonIdempotentRequestRunsTwice() throws Exception {
        final Set<ScriptedWorker.Behaviour> drawnBehaviours = EnumSet.noneOf(ScriptedWorker.Behaviour.class);
        for (int seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
            final ExchangeLog log = runScenario(seed, ProxySafeguard.NONE_DISABLED);
            assertThat("seed " + seed, new ExchangeChecker(log, ScriptedCluster.MAX_ATTEMPTS).check(), is(empty()));
            assertThat("successes of seed " + seed, successes(log), greaterThan(log.requests.size() / 5L));
            log.runs.forEach(run -> drawnBehaviours.add(run.behaviour()));
        }
        assertThat(drawnBehaviours, is(EnumSet.allOf(ScriptedWorker.Behaviour.class)));
    }

    @ParameterizedTest
    @CsvSource({
        "REQUEST_ID_ECHO, MIXED",
        "SENT_MAY_BE_EXECUTED, TWICE",
        "LEFTOVER_BYTES, REUSED",
        "SELF_DELIMITED_BODY, MIXED",
        "NOT_EXECUTED_STATEMENT, REFUSED",
        "HEAD_RESET, MIXED",
        "SEAL, MIXED"
    })
    void theCheckerDetectsADisabledSafeguard(final ProxySafeguard safeguard, final String rule) throws Exception {
        boolean isDetected = false;
        for (int seed = 1; seed <= MAX_SEEDS_PER_SAFEGUARD && !isDetected; seed++) {
            isDetected = new ExchangeChecker(runScenario(seed, Set.of(safeguard)), ScriptedCluster.MAX_ATTEMPTS)
                    .check().stream().anyMatch(violation -> violation.startsWith(rule + ":"));
        }
        assertThat(isDetected, is(true));
    }

    private static long successes(final ExchangeLog log) {
        return log.responses.stream()
                .map(ExchangeLog.ReceivedResponse::message)
                .filter(message -> message.end() == HttpResponseReader.End.COMPLETE && message.status() == 200)
                .count();
    }

    /** Runs all clients of a seed to completion; returns what clients and workers sent and received. */
    private static ExchangeLog runScenario(final long seed, final Set<ProxySafeguard> disabledSafeguards)
            throws Exception {
        try (ScriptedCluster cluster = new ScriptedCluster(seed, disabledSafeguards)) {
            cluster.runClients();
            return cluster.log();
        }
    }
}
