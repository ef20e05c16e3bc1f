package silverlatch.simulation.sim;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import silverlatch.safeguard.Safeguard;
import silverlatch.safeguard.Safeguards;
import silverlatch.simulation.explore.Mutant;
import silverlatch.simulation.fleet.Plan;

/** Days of failure on the fake clock, for both deployments; a failing day names its seed. */
final class DayTest {
    private static final long RATE = 40;

    /**
     * What {@code OrdersTest.theCheckerNoticesASafeguardLetDown} lets down: the operators of these days send no order
     * again under another id, so nothing here depends on them.
     */
    private static final Set<Safeguard> IN_STORMS_OF_ORDERS =
            Set.of(Safeguard.TAKEN, Safeguard.SETTLED, Safeguard.NEWEST);

    /** What {@code MembershipModelTest} and {@code MembershipTest} let down. */
    private static final Set<Safeguard> IN_MEMBERSHIP_TESTS = Set.of(Safeguard.DEAD_VOTES, Safeguard.HANDOVER);

    /** What {@code MutantTest} lets down: the explorer's mutants bear the names of their safeguards. */
    private static Set<Safeguard> inExplorer() {
        final Set<String> mutants =
                Arrays.stream(Mutant.values()).map(Mutant::name).collect(Collectors.toSet());
        return Arrays.stream(Safeguard.values())
                .filter(s -> mutants.contains(s.name()))
                .collect(Collectors.toSet());
    }

    private static Plan plan(final String name) throws IOException {
        return Plan.read(Path.of("../examples/" + name));
    }

    private static List<String> wrong(final List<Day.Came> days) {
        return days.stream()
                .flatMap(c -> c.wrong().stream().map(w -> "seed " + c.script().seed() + " " + c.story() + ": " + w))
                .toList();
    }

    private static List<Day.Came> all(final Plan plan, final List<Day.Script> scripts, final Safeguards guards) {
        return scripts.parallelStream()
                .map(s -> Day.run(plan, s, guards, false))
                .toList();
    }

    private static Set<Mark> tried(final List<Day.Came> days) {
        final Map<String, Long> sum = new TreeMap<>();
        days.forEach(d -> Main.add(sum, d.tally()));
        final Set<Mark> left = EnumSet.allOf(Mark.class);
        left.removeIf(m -> sum.containsKey("test-" + m));
        return left;
    }

    @ParameterizedTest
    @ValueSource(strings = {"ferry", "telecom"})
    void eachFaultOfTheBriefIsBorneAndEveryCheckIsPutToTheTest(final String name) throws IOException {
        final List<Day.Came> days = all(
                plan(name),
                Arrays.stream(Fault.values())
                        .map(f -> Day.Script.of(11, List.of(f), RATE))
                        .toList(),
                Safeguards.ALL);
        assertThat(wrong(days), is(List.of()));
        assertThat("put to no test", tried(days), is(empty()));
    }

    @ParameterizedTest
    @ValueSource(strings = {"ferry", "telecom"})
    void daysOfSeveralFaultsAreBorne(final String name) throws IOException {
        assertThat(
                wrong(all(
                        plan(name),
                        LongStream.range(100, 116)
                                .mapToObj(s -> Day.Script.drawn(s, RATE))
                                .toList(),
                        Safeguards.ALL)),
                is(List.of()));
    }

    @Test
    void fiveHundredTenantsOfMixedHomesAndSharesAreServed() throws IOException {
        final Plan few = plan("telecom");
        final List<Plan.Tenant> many = new ArrayList<>();
        for (int i = 0; i < 500; i++) {
            final int from = i;
            many.add(new Plan.Tenant(
                    "tenant-" + i,
                    "key-" + i,
                    1 + i % 7,
                    few.regions().stream()
                            .map(Plan.Region::region)
                            .filter(r -> from % 3 > 0 && (r.hashCode() + from) % 2 == 0)
                            .toList()));
        }
        final Plan plan = new Plan("many", few.regions(), few.kinds(), many, few.table());
        final List<Day.Came> days = all(
                plan, List.of(Day.Script.of(1, List.of(Fault.TENANTS_MOVE, Fault.REGION_LOST), RATE)), Safeguards.ALL);
        assertThat(wrong(days), is(List.of()));
    }

    @Test
    void theSameSeedGivesTheSameDay() throws IOException {
        final Plan plan = plan("ferry");
        final Day.Script day = Day.Script.of(5, List.of(Fault.PURSERS_KILLED, Fault.HARBOR_KILLED), RATE);
        final Map<String, Long> once = Day.run(plan, day, Safeguards.ALL, false).tally();
        assertThat(Day.run(plan, day, Safeguards.ALL, false).tally(), is(once));
    }

    /** A check, the guards let down, the fault under which the check must trip, tickets a second, seeds. */
    private record Trip(Mark mark, Set<Safeguard> down, Fault fault, long rate, long seeds) {}

    private static Stream<Trip> trips() {
        return Stream.of(
                new Trip(Mark.TWICE, Set.of(Safeguard.CLAIM), Fault.CONSUMERS_MOVE, 60, 2),
                new Trip(Mark.TWICE, Set.of(Safeguard.SPENT), Fault.CONSUMERS_MOVE, 60, 2),
                new Trip(Mark.TWICE, Set.of(Safeguard.LIFE), Fault.KILLED_AT_STEPS, 60, 24),
                new Trip(Mark.TWICE, Set.of(Safeguard.BEGUN), Fault.WORKER_BREAKS, 60, 4),
                new Trip(Mark.REJECTED, Set.of(Safeguard.BEGUN), Fault.WORKER_BREAKS, 60, 8),
                new Trip(Mark.FOREIGN, Set.of(Safeguard.LINE), Fault.WORKER_BREAKS, 60, 8),
                new Trip(Mark.CUT, Set.of(Safeguard.SEAL), Fault.WORKER_BREAKS, 60, 8),
                new Trip(Mark.PIECE, Set.of(Safeguard.PIECE), Fault.WORKER_BREAKS, 60, 8),
                new Trip(
                        Mark.JOIN,
                        Set.of(Safeguard.BEGUN, Safeguard.LINE, Safeguard.PIECE),
                        Fault.WORKER_BREAKS,
                        60,
                        8),
                new Trip(Mark.SERVED, Set.of(Safeguard.SERVED), Fault.CONSUMERS_MOVE, 60, 2),
                new Trip(Mark.SENT, Set.of(Safeguard.SENT), Fault.CONSUMERS_MOVE, 60, 2),
                new Trip(Mark.KEPT, Set.of(Safeguard.KEPT), Fault.TENANTS_MOVE, 60, 4),
                new Trip(Mark.LEAVE, Set.of(Safeguard.WORD, Safeguard.SURE), Fault.NEWS_CUT, 60, 8),
                new Trip(Mark.TABLE, Set.of(Safeguard.SURE), Fault.NEWS_CUT, 60, 4),
                new Trip(Mark.BACK, Set.of(Safeguard.PAGE), Fault.NEWS_CUT, 60, 8),
                new Trip(Mark.LOSER, Set.of(Safeguard.MATCH), Fault.CONSUMERS_MOVE, 60, 2),
                new Trip(Mark.LOSER, Set.of(Safeguard.MATCH), Fault.CONFIGURATIONS_RACE, 60, 2),
                new Trip(Mark.READ, Set.of(Safeguard.LEASE), Fault.TAIL_CUT, 60, 4),
                new Trip(Mark.DRAIN, Set.of(Safeguard.ZONE), Fault.ZONE_DRAINED, 60, 2),
                new Trip(Mark.TRIES, Set.of(Safeguard.TRIES), Fault.WORKERS_DENY, 60, 2),
                new Trip(Mark.COLD, Set.of(Safeguard.RAMP), Fault.REGION_LOST, 400, 2),
                new Trip(Mark.RETURN, Set.of(Safeguard.WARM), Fault.REGION_COLD, 60, 4),
                new Trip(Mark.DEAD, Set.of(Safeguard.MEND), Fault.HARBOR_SWAPPED, 60, 4),
                new Trip(Mark.STAMP, Set.of(Safeguard.ABOVE), Fault.CONSUMERS_MOVE, 60, 2),
                new Trip(Mark.DRAG, Set.of(Safeguard.FAR), Fault.CLOCK_OFF, 60, 4));
    }

    @ParameterizedTest
    @MethodSource("trips")
    void theObserverNoticesWhenAGuardIsDown(final Trip t) throws IOException {
        final List<Day.Script> days = LongStream.range(1, 1 + t.seeds())
                .mapToObj(s -> Day.Script.of(s, List.of(t.fault()), t.rate()))
                .toList();
        final List<String> found = all(plan("ferry"), days, new Safeguards(t.down())).stream()
                .flatMap(d -> d.wrong().stream())
                .toList();
        assertThat(found, hasItem(startsWith(t.mark() + " ")));
    }

    @Test
    void aDiskThatLiesAboutItsSyncIsNoticed() throws IOException {
        final List<Day.Script> days = LongStream.range(1, 5)
                .mapToObj(s -> new Day.Script(s, List.of(Fault.ALL_KILLED), 60, true))
                .toList();
        final List<String> found = all(plan("ferry"), days, Safeguards.ALL).stream()
                .flatMap(d -> d.wrong().stream())
                .toList();
        assertThat(found, hasItem(startsWith("READ ")));
    }

    @Test
    void aDayThatPutsNothingToTheTestIsNoticed() throws IOException {
        final Plan ferry = plan("ferry");
        final Plan idle = new Plan(
                "idle",
                ferry.regions().stream()
                        .map(r -> new Plan.Region(r.region(), r.zone(), r.gateways(), 0))
                        .toList(),
                ferry.kinds(),
                ferry.tenants(),
                ferry.table());
        final List<Day.Came> days = all(idle, List.of(Day.Script.of(1, List.of(), RATE)), Safeguards.ALL);
        assertThat(days.get(0).wrong(), hasItem(startsWith("IDLE ")));
        assertThat(tried(days), is(not(empty())));
    }

    @Test
    void everyMarkHasAGuardThatTripsIt() {
        final Set<Mark> left = EnumSet.complementOf(EnumSet.of(Mark.IDLE));
        trips().forEach(t -> left.remove(t.mark()));
        assertThat(left, is(empty()));
        final Set<Safeguard> elsewhere = new HashSet<>(IN_STORMS_OF_ORDERS);
        elsewhere.addAll(IN_MEMBERSHIP_TESTS);
        elsewhere.addAll(inExplorer());
        final Set<Safeguard> untripped = EnumSet.allOf(Safeguard.class);
        trips().forEach(t -> untripped.removeAll(t.down()));
        trips().forEach(t -> elsewhere.removeAll(t.down()));
        assertThat(untripped, is(elsewhere));
    }

    @Test
    void aWrongDayIsCutDownToTheFaultsThatShowIt() throws IOException {
        final Plan plan = plan("ferry");
        final Safeguards guards = new Safeguards(Set.of(Safeguard.ZONE));
        final Day.Came came =
                Day.run(plan, Day.Script.of(3, List.of(Fault.DISK_LIMPS, Fault.ZONE_DRAINED), RATE), guards, false);
        assertThat(Main.fewest(plan, came, guards).faults(), is(List.of(Fault.ZONE_DRAINED)));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "../examples/nowhere 1 1",
                "../examples/ferry one 1",
                "../examples/ferry 1 0",
                "../examples/ferry 1 1 FIRE,ZONE_DRAINED",
                "../examples/ferry 1 1 drawn --down ROPE",
                "../examples/ferry 1 1 drawn --rate 0",
                "../examples/ferry 1",
                "../examples/ferry 1 1 drawn --fast"
            })
    void wrongWordsOnTheDrillsCommandLineEndWithTwo(final String words) throws Exception {
        assertThat(Main.wrong(words.split(" ")), is(2));
    }

    @Test
    void aPlanWithFaultsIsToldWithThePlaceOfEach(@org.junit.jupiter.api.io.TempDir final Path folder) throws Exception {
        java.nio.file.Files.writeString(
                folder.resolve("plan.json"),
                "{\"regions\":[{\"region\":7,\"zone\":\"z\",\"gateways\":-1,\"workers\":1}],"
                        + "\"kinds\":[],\"tenants\":[],\"odd\":1}");
        final IOException told =
                org.junit.jupiter.api.Assertions.assertThrows(IOException.class, () -> Plan.read(folder));
        for (final String place : List.of("$.regions[0].region", "$.regions[0].gateways", "$.odd")) {
            assertThat(told.getMessage(), org.hamcrest.Matchers.containsString(place));
        }
        assertThat(Main.wrong(new String[] {folder.toString(), "1", "1"}), is(2));
    }
}
