package silverlatch.simulation.explore;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Visits the states that are reachable by the actions of {@link Moves}, level by level. A state whose digest was visited
 * before isn't expanded again. Replicas can't be copied, so each state is rebuilt by replaying the actions that lead to it.
 */
final class BreadthFirstSearch {
    private final WorldOptions options;
    private final Moves moves;
    private final Counters counters;
    private final Findings findings;
    private final LongHashSet visited = new LongHashSet();

    /** A state, given by its parent state and the action that leads from there to it. */
    private record Node(Optional<Node> parent, Action action) {}

    BreadthFirstSearch(
            final WorldOptions options, final Moves moves, final Counters counters, final Findings findings) {
        this.options = options;
        this.moves = moves;
        this.counters = counters;
        this.findings = findings;
    }

    /** Searches to a depth or until a limit is reached, and returns the greatest depth that was searched completely. */
    int run(final int depth, final SearchLimits limits) {
        List<Node> level = new ArrayList<>();
        level.add(new Node(Optional.empty(), Action.of(Action.Kind.ROUND)));
        visited.add(StateDigest.of(replay(path(level.get(0)))));
        for (int reached = 0; reached < depth; reached++) {
            final Queue<Node> next = new ConcurrentLinkedQueue<>();
            if (!expand(level, next, limits) || next.isEmpty()) {
                return reached;
            }
            level = new ArrayList<>(next);
        }
        return depth;
    }

    private boolean expand(final List<Node> level, final Queue<Node> next, final SearchLimits limits) {
        final AtomicInteger nextIndex = new AtomicInteger();
        ParallelRunner.run(limits.threads(), () -> {
            int index = nextIndex.getAndIncrement();
            while (index < level.size() && !isLimitReached(limits)) {
                expand(level.get(index), next);
                index = nextIndex.getAndIncrement();
            }
        });
        return !isLimitReached(limits);
    }

    private boolean isLimitReached(final SearchLimits limits) {
        return limits.isReached() || counters.states() >= limits.maxStates();
    }

    private void expand(final Node node, final Queue<Node> next) {
        final List<Action> path = path(node);
        for (final Action action : moves.possibleActions(replay(path), path)) {
            final World world = replay(path);
            world.apply(action);
            world.checkHistory();
            final int steps = path.size() + 1;
            if (world.violation().isPresent()) {
                final List<Action> all = new ArrayList<>(moves.initialActions());
                all.addAll(path);
                all.add(action);
                findings.add(new Finding(world.violation().get(), new Schedule(options, all)));
            } else if (visited.add(StateDigest.of(world))) {
                counters.recordNewState(steps);
                next.add(new Node(Optional.of(node), action));
            } else {
                counters.recordKnownState(steps);
            }
        }
    }

    private static List<Action> path(final Node last) {
        final Deque<Action> path = new ArrayDeque<>();
        Optional<Node> node = Optional.of(last);
        while (node.isPresent()) {
            path.addFirst(node.get().action());
            node = node.get().parent();
        }
        return List.copyOf(path);
    }

    private World replay(final List<Action> path) {
        final World world = new World(options);
        moves.initialActions().forEach(world::apply);
        path.forEach(world::apply);
        return world;
    }
}
