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
 * A table of state transitions read from a file and interpreted: states, the events each takes, and where they lead.
 * The file is the only place where a move is allowed.
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

    /** Reads the table of the given name from the folder of tables of the program. */
    public static TransitionTable load(final String name) {
        return LOADED.computeIfAbsent(name, TransitionTable::read);
    }

    private static TransitionTable read(final String name) {
        try (InputStream in = Optional.ofNullable(
                        TransitionTable.class.getResourceAsStream("/statemachines/" + name + ".json"))
                .orElseThrow(() -> new IllegalArgumentException("no transition table " + name))) {
            return parse(new String(in.readAllBytes(), StandardCharsets.UTF_8));
        } catch (final IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Reads a table and checks that each state is reachable and each that takes no event is named as an end. */
    public static TransitionTable parse(final String text) {
        final Map<?, ?> root =
                (Map<?, ?>) Jsonb.builder().build().type(Object.class).fromJson(text);
        final String initialState = (String) root.get("start");
        final Map<String, Map<String, String>> transitions = new HashMap<>();
        for (final Object row : (List<?>) root.get("moves")) {
            final List<?> cells = (List<?>) row;
            final Map<String, String> from = transitions.computeIfAbsent((String) cells.get(0), k -> new HashMap<>());
            final boolean isDuplicate = from.containsKey((String) cells.get(1));
            from.put((String) cells.get(1), (String) cells.get(2));
            if (isDuplicate) {
                throw new IllegalArgumentException("two moves from " + cells.get(0) + " on " + cells.get(1));
            }
        }
        final Set<String> finalStates = new HashSet<>();
        ((List<?>) root.get("ends")).forEach(e -> finalStates.add((String) e));
        final Set<String> reachable = new HashSet<>(Set.of(initialState));
        boolean more = true;
        while (more) {
            more = false;
            for (final String state : List.copyOf(reachable)) {
                more |= reachable.addAll(
                        transitions.getOrDefault(state, Map.of()).values());
            }
        }
        if (!reachable.containsAll(transitions.keySet()) || !reachable.containsAll(finalStates)) {
            throw new IllegalArgumentException("a state can't be reached in transition table " + root.get("name"));
        }
        for (final String state : reachable) {
            if (transitions.containsKey(state) == finalStates.contains(state)) {
                throw new IllegalArgumentException("state " + state + " must either move or be an end");
            }
        }
        return new TransitionTable((String) root.get("name"), initialState, transitions, finalStates);
    }

    /** The state in which things begin. */
    public String initialState() {
        return initialState;
    }

    /** Where an event leads, or nothing when the state does not take it. */
    public Optional<String> next(final String state, final String event) {
        return Optional.ofNullable(transitions.getOrDefault(state, Map.of()).get(event));
    }

    /** Where an event leads; an event the state does not take is a fault of the program. */
    public String transition(final String state, final String event) {
        return next(state, event)
                .orElseThrow(() -> new IllegalStateException(
                        "transition table " + name + ": " + state + " does not take " + event));
    }

    /** Whether nothing follows on this state. */
    public boolean isFinal(final String state) {
        return finalStates.contains(state);
    }
}
