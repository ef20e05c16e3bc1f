package silverlatch.simulation.explore;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Replays schedules that the explorer found and shrunk. Each violated a property before a fault was fixed. */
final class FoundScheduleTest {
    static Schedule schedule(final String name) throws IOException {
        try (InputStream in = FoundScheduleTest.class.getResourceAsStream("/schedules/" + name + ".schedule")) {
            return Schedule.parse(new String(in.readAllBytes(), StandardCharsets.UTF_8));
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "two-identities-at-one-address",
                "repair-takes-pending",
                "repair-drops-acknowledged",
                "repair-drops-acknowledged-3",
                "last-of-chain-lost-3",
                "last-of-chain-lost-4",
                "last-of-chain-lost-5",
                "resent-order-refused",
                "refused-by-uncommitted",
                "restart-forgets-view",
                "only-member-lost-beside-standby"
            })
    void replaysWithoutViolation(final String name) throws IOException {
        assertThat(schedule(name).replay().violation(), is(Optional.empty()));
    }

    /** Covers the safeguards whose violations random walks reach too rarely for {@link MutantTest}. */
    @ParameterizedTest
    @CsvSource({"restart-forgets-view,VIEW_SYNC", "only-member-lost-beside-standby,TAKEOVER"})
    void violatesAPropertyWithoutItsSafeguard(final String name, final Mutant mutant) throws IOException {
        final Schedule found = schedule(name);
        final WorldOptions options = found.options();
        final WorldOptions mutated =
                new WorldOptions(options.replicas(), options.copies(), options.driftPercent(), mutant);
        final Optional<Violation> violation =
                new Schedule(mutated, found.actions()).replay().violation();
        assertThat(mutant.expected().contains(violation.orElseThrow().property()), is(true));
    }

    @Test
    void keepsAMajorityAfterTwoDiskLossesOfFiveWhileTwoOthersAreSlow() throws IOException {
        assertThat(schedule("slow-members-lose-votes").replay().violation(), is(Optional.empty()));
    }

    @Test
    void repairIgnoresAnswersToDigestsSentBeforeARestart() throws IOException {
        assertThat(schedule("repair-answers-old-digests").replay().violation(), is(Optional.empty()));
    }

    @Test
    void recoversWhenTheOnlyChainMemberIsLostWhileAReplicaJoins() throws IOException {
        assertThat(schedule("last-of-chain-lost-beside-joiner").replay().violation(), is(Optional.empty()));
    }
}
