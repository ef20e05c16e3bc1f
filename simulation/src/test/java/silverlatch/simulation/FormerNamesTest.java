package silverlatch.simulation;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import silverlatch.safeguard.Safeguard;
import silverlatch.simulation.explore.Mutant;
import silverlatch.simulation.sim.Fault;
import silverlatch.simulation.sim.Main;

/** Checks that the deprecated names of faults and safeguards are accepted, and that each maps to an existing one. */
final class FormerNamesTest {
    private static final List<String> FORMER_FAULTS = List.of(
            "PURSER_KILLED",
            "PURSERS_KILLED",
            "PURSER_FROZEN",
            "PURSER_STOPPED",
            "WORKER_DARK",
            "WORKER_LEAVES",
            "WORKER_BREAKS",
            "CONSUMERS_MOVE",
            "CROWD",
            "HARBOR_KILLED",
            "HARBOR_STOPPED",
            "HARBOR_WIPED",
            "HARBOR_FROZEN",
            "HARBOR_SWAPPED",
            "HARBORS_SWAPPED",
            "DISK_LIMPS",
            "CORE_SPLIT",
            "CORE_CUT",
            "REGION_CUT",
            "TAIL_CUT",
            "REGION_COLD",
            "CLOCK_OFF",
            "CLOCKS_OFF",
            "NET_ROUGH",
            "ZONE_DRAINED",
            "NEWS_CUT",
            "WORKERS_DENY",
            "ONE_WAY_CUT",
            "WORKER_LIMPS",
            "FROZEN_AT_PICK",
            "FROZEN_AT_ASK",
            "FROZEN_AT_PIECE",
            "REFOUNDING");
    private static final List<String> FORMER_SAFEGUARDS = List.of(
            "WORD", "SURE", "ZONE", "SERVED", "SENT", "KEPT", "SPENT", "LIFE", "LINE", "PIECE", "SEAL", "BEGUN", "RAMP",
            "WARM", "TRIES", "PAGE", "MATCH", "TAKEN", "SETTLED", "NEWEST", "ABOVE", "FAR", "MEND", "DIGEST");

    @Test
    void eachFormerFaultNameMapsToADifferentFault() {
        final List<Fault> current = FORMER_FAULTS.stream()
                .map(FormerNames::currentFault)
                .map(Fault::valueOf)
                .distinct()
                .toList();
        assertThat(current.size(), is(FORMER_FAULTS.size()));
    }

    @Test
    void eachFormerSafeguardNameMapsToADifferentSafeguard() {
        final List<Safeguard> current = FORMER_SAFEGUARDS.stream()
                .map(FormerNames::currentSafeguard)
                .map(Safeguard::valueOf)
                .distinct()
                .toList();
        assertThat(current.size(), is(FORMER_SAFEGUARDS.size()));
    }

    @Test
    void currentNamesMapToThemselves() {
        for (final Fault fault : Fault.values()) {
            assertThat(FormerNames.currentFault(fault.name()), is(fault.name()));
        }
        for (final Safeguard safeguard : Safeguard.values()) {
            assertThat(FormerNames.currentSafeguard(safeguard.name()), is(safeguard.name()));
        }
    }

    @Test
    void mutantsHaveTheNamesOfTheirSafeguards() {
        final List<String> safeguards =
                Arrays.stream(Safeguard.values()).map(Enum::name).toList();
        final List<String> others = Arrays.stream(Mutant.values())
                .map(Enum::name)
                .filter(name -> !safeguards.contains(name))
                .toList();
        assertThat(others, is(List.of("NONE", "SYNC")));
    }

    @ParameterizedTest
    @ValueSource(strings = {"PURSER_FROZEN --down MEND", "GATEWAY_FROZEN --down CHAIN_REPAIR"})
    void simulatorAcceptsFormerAndCurrentNames(final String named) throws Exception {
        final String[] arguments = ("../examples/ferry 1 1 " + named).split(" ");
        assertThat(Main.exitCode(arguments) == 2, is(false));
    }
}
