package silverlatch.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import silverlatch.state.Value;

/**
 * A provider that takes reports of usage under fencing tokens, and checks its callers: one holder a token, equal counts in all
 * accepted reports of a window, and no two holders that act in turns within a lease.
 */
final class ProviderAudit {
    private static final long LEASE = 3 * NodeCluster.SECOND;
    private final List<Act> acts = new ArrayList<>();
    private final Map<Long, String> holders = new HashMap<>();
    private final Map<Long, List<Value.TenantCount>> reports = new TreeMap<>();
    private final Map<Long, Long> acceptedAt = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    private long highestToken;
    private int calls;

    private record Act(String holder, long at) {}

    /** Takes a call; returns whether it was accepted, or refused as a higher token was seen. */
    boolean report(final String holder, final long token, final Value.UsageWindow window, final long now) {
        calls++;
        if (!holders.computeIfAbsent(token, unused -> holder).equals(holder)) {
            violations.add("token " + token + " of " + holders.get(token) + " and " + holder);
        }
        if (token < highestToken) {
            return false;
        }
        highestToken = token;
        acts.add(new Act(holder, now));
        checkTurns();
        final List<Value.TenantCount> earlier = Optional.ofNullable(
                        reports.putIfAbsent(window.number(), window.counts()))
                .orElse(window.counts());
        if (!earlier.equals(window.counts())) {
            violations.add("window " + window.number() + ": " + earlier + " and " + window.counts());
        }
        acceptedAt.putIfAbsent(window.number(), now);
        return true;
    }

    private void checkTurns() {
        final Act last = acts.get(acts.size() - 1);
        final Set<String> between = new HashSet<>();
        for (int i = acts.size() - 2; i >= 0 && last.at() - acts.get(i).at() < LEASE; i--) {
            if (!acts.get(i).holder().equals(last.holder())) {
                between.add(acts.get(i).holder());
            } else if (!between.isEmpty()) {
                violations.add(last.holder() + ", " + between + ", " + last.holder() + " within a lease");
            }
        }
    }

    void violation(final String what) {
        violations.add(what);
    }

    List<String> violations() {
        return List.copyOf(violations);
    }

    /** The counts by window that were accepted. */
    Map<Long, List<Value.TenantCount>> reports() {
        return reports;
    }

    /** When the report of a window was first accepted. */
    long acceptedAt(final long window) {
        return acceptedAt.get(window);
    }

    int calls() {
        return calls;
    }

    /** Who acted last, if anybody has. */
    Optional<String> lastHolder() {
        return acts.isEmpty()
                ? Optional.empty()
                : Optional.of(acts.get(acts.size() - 1).holder());
    }
}
