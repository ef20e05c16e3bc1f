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
 * A simulated provider that accepts usage reports with fencing tokens and checks its callers: each token has a single holder, all
 * accepted reports of a window have equal counts, and no two holders alternate within one lease.
 */
final class ProviderAudit {
    private static final long LEASE = 3 * NodeCluster.SECOND;
    private final List<AcceptedCall> acceptedCalls = new ArrayList<>();
    private final Map<Long, String> holders = new HashMap<>();
    private final Map<Long, List<Value.TenantCount>> reports = new TreeMap<>();
    private final Map<Long, Long> acceptedAt = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    private long highestToken;
    private int calls;

    private record AcceptedCall(String holder, long at) {}

    /** Handles a call; returns whether it was accepted. Rejects it if a call with a higher token was accepted before. */
    boolean report(final String holder, final long token, final Value.UsageWindow window, final long now) {
        calls++;
        if (!holders.computeIfAbsent(token, unused -> holder).equals(holder)) {
            violations.add("token " + token + " of " + holders.get(token) + " and " + holder);
        }
        if (token < highestToken) {
            return false;
        }
        highestToken = token;
        acceptedCalls.add(new AcceptedCall(holder, now));
        checkNoAlternation();
        final List<Value.TenantCount> earlier = Optional.ofNullable(
                        reports.putIfAbsent(window.number(), window.counts()))
                .orElse(window.counts());
        if (!earlier.equals(window.counts())) {
            violations.add("window " + window.number() + ": " + earlier + " and " + window.counts());
        }
        acceptedAt.putIfAbsent(window.number(), now);
        return true;
    }

    private void checkNoAlternation() {
        final AcceptedCall last = acceptedCalls.get(acceptedCalls.size() - 1);
        final Set<String> between = new HashSet<>();
        for (int i = acceptedCalls.size() - 2;
                i >= 0 && last.at() - acceptedCalls.get(i).at() < LEASE;
                i--) {
            if (!acceptedCalls.get(i).holder().equals(last.holder())) {
                between.add(acceptedCalls.get(i).holder());
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

    /** Returns the accepted counts by window. */
    Map<Long, List<Value.TenantCount>> reports() {
        return reports;
    }

    /** Returns the time at which a report of the window was first accepted. */
    long acceptedAt(final long window) {
        return acceptedAt.get(window);
    }

    int calls() {
        return calls;
    }

    /** Returns the holder of the last accepted call, if there was one. */
    Optional<String> lastHolder() {
        return acceptedCalls.isEmpty()
                ? Optional.empty()
                : Optional.of(acceptedCalls.get(acceptedCalls.size() - 1).holder());
    }
}
