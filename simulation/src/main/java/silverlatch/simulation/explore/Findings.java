package silverlatch.simulation.explore;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/** Collects the shortest finding and the number of findings of each property. Safe for use by several threads. */
final class Findings {
    private final Map<Property, Finding> first = new EnumMap<>(Property.class);
    private final Map<Property, Integer> counts = new EnumMap<>(Property.class);

    /** Records a finding. */
    synchronized void add(final Finding finding) {
        final Property property = finding.violation().property();
        first.merge(property, finding, (one, other) -> shorter(one, other));
        counts.merge(property, 1, Integer::sum);
    }

    private static Finding shorter(final Finding one, final Finding other) {
        return other.schedule().actions().size() < one.schedule().actions().size() ? other : one;
    }

    /** Returns, for each violated property, the finding with the shortest schedule. */
    synchronized List<Finding> all() {
        return new ArrayList<>(first.values());
    }

    synchronized int count(final Property property) {
        return counts.getOrDefault(property, 0);
    }
}
