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
    private final String start;
    private final Map<String, Map<String, String>> moves;
    private final Set<String> ends;

    private TransitionTable(
            final String name,
            final String start,
            final Map<String, Map<String, String>> moves,
            final Set<String> ends) {
        this.name = name;
        this.start = start;
        this.moves = moves;
        this.ends = ends;
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
        final String first = (String) root.get("start");
        final Map<String, Map<String, String>> moves = new HashMap<>();
        for (final Object row : (List<?>) root.get("moves")) {
            final List<?> cells = (List<?>) row;
            final Map<String, String> from = moves.computeIfAbsent((String) cells.get(0), k -> new HashMap<>());
            final boolean twice = from.containsKey((String) cells.get(1));
            from.put((String) cells.get(1), (String) cells.get(2));
            if (twice) {
                throw new IllegalArgumentException("two moves from " + cells.get(0) + " on " + cells.get(1));
            }
        }
        final Set<String> ends = new HashSet<>();
        ((List<?>) root.get("ends")).forEach(e -> ends.add((String) e));
        final Set<String> seen = new HashSet<>(Set.of(first));
        boolean more = true;
        while (more) {
            more = false;
            for (final String state : List.copyOf(seen)) {
                more |= seen.addAll(moves.getOrDefault(state, Map.of()).values());
            }
        }
        if (!seen.containsAll(moves.keySet()) || !seen.containsAll(ends)) {
            throw new IllegalArgumentException("a state can't be reached in transition table " + root.get("name"));
        }
        for (final String state : seen) {
            if (moves.containsKey(state) == ends.contains(state)) {
                throw new IllegalArgumentException("state " + state + " must either move or be an end");
            }
        }
        return new TransitionTable((String) root.get("name"), first, moves, ends);
    }

    /** The state in which things begin. */
    public String start() {
        return start;
    }

    /** Where an event leads, or nothing when the state does not take it. */
    public Optional<String> next(final String state, final String event) {
        return Optional.ofNullable(moves.getOrDefault(state, Map.of()).get(event));
    }

    /** Where an event leads; an event the state does not take is a fault of the program. */
    public String move(final String state, final String event) {
        return next(state, event)
                .orElseThrow(() -> new IllegalStateException(
                        "transition table " + name + ": " + state + " does not take " + event));
    }

    /** Whether nothing follows on this state. */
    public boolean ended(final String state) {
        return ends.contains(state);
    }
}
