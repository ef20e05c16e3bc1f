package silverlatch.statemachine;

import io.avaje.jsonb.Jsonb;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A table of state transitions: the states, the events that each takes, and the states they lead to. It is read from a JSON
 * resource ({@code start}, {@code moves} as rows of state, event and target, {@code ends}), which is the only place that
 * says which transitions are legal. A table is immutable and may be used by all threads.
 */
public final class TransitionTable {
    private static final Map<String, TransitionTable> LOADED = new ConcurrentHashMap<>();
    private final String name;
    private final String initialState;
    private final Map<String, Map<String, String>> transitions;
    private final Set<String> finalStates;

    private TransitionTable(
            final String name,
            final String initialState,
            final Map<String, Map<String, String>> transitions,
            final Set<String> finalStates) {
        this.name = name;
        this.initialState = initialState;
        this.transitions = transitions;
        this.finalStates = finalStates;
    }

    /**
     * Returns the table of a name, read from the program's resources at the first call.
     *
     * @throws IllegalArgumentException if there is no such table or it isn't valid
     */
    public static TransitionTable load(final String name) {
        return LOADED.computeIfAbsent(name, TransitionTable::read);
    }

    private static TransitionTable read(final String name) {
        try (InputStream in = Optional.ofNullable(
                        TransitionTable.class.getResourceAsStream("/statemachines/" + name + ".json"))
                .orElseThrow(() -> new IllegalArgumentException("no transition table " + name))) {
            return parse(new String(in.readAllBytes(), StandardCharsets.UTF_8));
        } catch (final IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    /**
     * Parses a table.
     *
     * @throws IllegalArgumentException if a state can't be reached, takes no event but isn't named as final, is named as
     *     final but takes events, or takes one event twice
     */
    public static TransitionTable parse(final String text) {
        final Map<?, ?> root =
                (Map<?, ?>) Jsonb.builder().build().type(Object.class).fromJson(text);
        final String name = (String) root.get("name");
        final String initialState = (String) root.get("start");
        final Map<String, Map<String, String>> transitions = parseTransitions((List<?>) root.get("moves"));
        final Set<String> finalStates = new HashSet<>();
        ((List<?>) root.get("ends")).forEach(state -> finalStates.add((String) state));
        final Set<String> reachable = reachableStates(initialState, transitions);
        if (!reachable.containsAll(transitions.keySet()) || !reachable.containsAll(finalStates)) {
            throw new IllegalArgumentException("a state can't be reached in transition table " + name);
        }
        for (final String state : reachable) {
            if (transitions.containsKey(state) == finalStates.contains(state)) {
                throw new IllegalArgumentException("state " + state + " must either move or be an end");
            }
        }
        return new TransitionTable(name, initialState, transitions, finalStates);
    }

    private static Map<String, Map<String, String>> parseTransitions(final List<?> rows) {
        final Map<String, Map<String, String>> transitions = new HashMap<>();
        for (final Object row : rows) {
            final List<?> cells = (List<?>) row;
            final String state = (String) cells.get(0);
            final String event = (String) cells.get(1);
            final String target = (String) cells.get(2);
            final Map<String, String> ofState = transitions.computeIfAbsent(state, key -> new HashMap<>());
            if (ofState.put(event, target) != null) {
                throw new IllegalArgumentException("two moves from " + state + " on " + event);
            }
        }
        return transitions;
    }

    private static Set<String> reachableStates(
            final String initialState, final Map<String, Map<String, String>> transitions) {
        final Set<String> reachable = new HashSet<>(Set.of(initialState));
        boolean hasGrown = true;
        while (hasGrown) {
            hasGrown = false;
            for (final String state : List.copyOf(reachable)) {
                hasGrown |= reachable.addAll(
                        transitions.getOrDefault(state, Map.of()).values());
            }
        }
        return reachable;
    }

    /** Returns the state in which everything begins. */
    public String initialState() {
        return initialState;
    }

    /** Returns the state that follows, or nothing where the state does not take the event. */
    public Optional<String> next(final String state, final String event) {
        return Optional.ofNullable(transitions.getOrDefault(state, Map.of()).get(event));
    }

    /**
     * Returns the state that follows.
     *
     * @throws IllegalStateException if the state does not take the event
     */
    public String transition(final String state, final String event) {
        return next(state, event)
                .orElseThrow(() -> new IllegalStateException(
                        "transition table " + name + ": " + state + " does not take " + event));
    }

    /** Returns whether a state takes no event. */
    public boolean isFinal(final String state) {
        return finalStates.contains(state);
    }
}
