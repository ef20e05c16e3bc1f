package silverlatch.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What a decision-making core has to say until its event loop takes it: effects in the order in which they arose, counters, and traces of
 * requests. Owned by one event loop.
 *
 * @param <E> the type of the effects
 */
public abstract class EffectBuffer<E> {
    private final List<E> effects = new ArrayList<>();
    private final Map<String, Long> counters = new TreeMap<>();
    private final TraceLog traces;

    /** An empty buffer that keeps so many traces. */
    protected EffectBuffer(final int maxTraces) {
        this.traces = new TraceLog(maxTraces);
    }

    /** Something to be done outside. */
    public final void add(final E effect) {
        effects.add(effect);
    }

    /** Adds one to a counter. */
    public final void count(final String name) {
        counters.merge(name, 1L, Long::sum);
    }

    /** Hands over the effects, each once. */
    public final List<E> drain() {
        final List<E> drained = List.copyOf(effects);
        effects.clear();
        return drained;
    }

    /** The counters by name. */
    public final Map<String, Long> counters() {
        return Map.copyOf(counters);
    }

    /** The traces of requests. */
    public final TraceLog traces() {
        return traces;
    }
}
