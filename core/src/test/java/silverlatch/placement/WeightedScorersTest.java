package silverlatch.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import silverlatch.gossip.Worker;
import silverlatch.state.Value;

/**
 * Guards against selecting a worker that must not or can't run a request, and against overloading one that has just
 * started.
 */
final class WeightedScorersTest {
    private static final long SECOND = 1_000_000;
    private static final long WARM = 60 * SECOND;
    private final WeightedScorers scorers = WeightedScorers.allScorers(2 * SECOND);

    private static PlacementContext context(final List<String> homes, final Set<String> evacuatingZones) {
        return new PlacementContext(
                "request",
                new Value.Tenant("one", homes, 1, "", ""),
                new Value.Row("*", "ask", 1, 1, 1, 1, 50, 100, 32, 64, 2 * SECOND, false, 1),
                List.of(5L, 6L),
                "z1",
                "r1",
                evacuatingZones);
    }

    private static Worker worker(final String id, final String zone, final String region, final int running) {
        return new Worker(id, id, zone, region, 1, 1, running, 0, 4, List.of(), false, WARM);
    }

    private static PlacementInput input(final Worker worker, final long reportAge, final boolean isEjected) {
        return new PlacementInput(worker, reportAge, 0, 0, WARM, isEjected, 1);
    }

    private WeightedScorers.Decision select(final PlacementContext context, final PlacementInput... candidates) {
        return scorers.select(context, List.of(candidates), new SplittableRandom(1));
    }

    private static String selected(final WeightedScorers.Decision decision) {
        return decision instanceof WeightedScorers.Decision.Selected selected
                ? selected.candidate().worker().id()
                : decision.getClass().getSimpleName();
    }

    @Test
    void freeSlotsAndTheGatewaysZoneArePreferred() {
        final PlacementContext context = context(List.of(), Set.of());
        assertThat(
                selected(select(
                        context,
                        input(worker("busy", "z1", "r1", 3), 0, false),
                        input(worker("free", "z1", "r1", 0), 0, false))),
                is("free"));
        assertThat(
                selected(select(
                        context,
                        input(worker("far", "z2", "r2", 0), 0, false),
                        input(worker("near", "z1", "r1", 0), 0, false))),
                is("near"));
    }

    @Test
    void aWorkerThatIsNotAllowedIsNeverSelected() {
        final PlacementInput allowed = input(worker("w", "z1", "r1", 0), 0, false);
        assertThat(selected(select(context(List.of("r2"), Set.of()), allowed)), is("NoneAllowed"));
        assertThat(selected(select(context(List.of(), Set.of("z1")), allowed)), is("NoneAllowed"));
        final PlacementInput old = input(worker("w", "z1", "r1", 0), 2 * SECOND + 1, false);
        assertThat(selected(select(context(List.of(), Set.of()), old)), is("NoneAllowed"));
        assertThat(selected(select(context(List.of(), Set.of()))), is("NoneAllowed"));
        assertThat(scorers.accepts(context(List.of(), Set.of()), old), is(false));
        assertThat(scorers.accepts(context(List.of(), Set.of()), allowed), is(true));
    }

    @Test
    void ifAllAllowedWorkersAreFullOrEjectedTheResultIsAllBusy() {
        final PlacementContext context = context(List.of(), Set.of());
        assertThat(selected(select(context, input(worker("full", "z1", "r1", 4), 0, false))), is("AllBusy"));
        assertThat(selected(select(context, input(worker("out", "z1", "r1", 0), 0, true))), is("AllBusy"));
        assertThat(
                "a full worker outside the home regions is not allowed",
                selected(select(context(List.of("r1"), Set.of()), input(worker("full", "z2", "r2", 4), 0, false))),
                is("NoneAllowed"));
    }

    @Test
    void eachScorerReturnsAResultForEachWorkerUnderItsName() {
        final WeightedScorers.Decision decision =
                select(context(List.of(), Set.of()), input(worker("w", "z1", "r1", 0), 0, false));
        assertThat(
                decision.scores().stream()
                        .map(WeightedScorers.WeightedScore::scorer)
                        .toList(),
                is(List.of("prefix", "load", "cross", "home", "zone", "lease", "cold")));
        decision.scores().forEach(score -> assertThat(score.result(), instanceOf(ScorerResult.Score.class)));
    }

    @Test
    void slowStartLimitsTheRequestsOfANewWorker() {
        final PlacementContext context = context(List.of(), Set.of());
        final Worker worker = new Worker("w", "w", "z1", "r1", 1, 1, 1, 0, 8, List.of(), false, 0);
        final PlacementInput justStarted = new PlacementInput(worker, 0, 0, 0, WARM, false, 1);
        assertThat(justStarted.slotLimit(), is(1));
        assertThat(selected(select(context, justStarted)), is("AllBusy"));
        final Worker warm = new Worker("w", "w", "z1", "r1", 1, 1, 1, 0, 8, List.of(), false, WARM);
        assertThat(selected(select(context, new PlacementInput(warm, 0, 0, 0, WARM, false, 1))), is("w"));
        assertThat(
                "a recovered worker has a slow start too",
                new PlacementInput(warm, 0, 0, 0, 0, false, 1).slotLimit(),
                is(1));
    }
}
