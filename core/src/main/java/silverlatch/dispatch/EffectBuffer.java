package silverlatch.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Collects the output of a component that makes decisions and does no I/O: the effects to execute, in order, until the event
 * loop drains them; and its counters and traces of requests. Used by one event loop only.
 *
 * @param <E> the type of the effects
 */
public abstract class EffectBuffer<E> {
    private final List<E> effects = new ArrayList<>();
    private final Map<String, Long> counters = new TreeMap<>();
    private final TraceLog traces;

    /** Creates an empty buffer that keeps at most the given number of traces. */
    protected EffectBuffer(final int maxTraces) {
        this.traces = new TraceLog(maxTraces);
    }

    /** Adds an effect to execute. */
    public final void add(final E effect) {
        effects.add(effect);
    }

    /** Increments a counter by one. */
    public final void count(final String name) {
        counters.merge(name, 1L, Long::sum);
    }

    /** Returns the collected effects and removes them, so that each is returned once. */
    public final List<E> drain() {
        final List<E> drained = List.copyOf(effects);
        effects.clear();
        return drained;
    }

    /** Returns the counters by name. */
    public final Map<String, Long> counters() {
        return Map.copyOf(counters);
    }

    /** Returns the traces of requests. */
    public final TraceLog traces() {
        return traces;
    }
}
