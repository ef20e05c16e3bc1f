package silverlatch.simulation.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Records the changes that operators requested and the replies that they received, and checks them against what workers and
 * clients observe: tables, the gate (the one table cell whose effect is visible in each reply, see {@link Operators#GATE_KIND}),
 * tenants' home regions, and drained zones. Times are microseconds of true time.
 */
public final class OperatorHistory {
    private static final long SECOND = 1_000_000L;
    private static final long NEVER = Long.MAX_VALUE / 2;
    private final Observer observer;
    private final Map<String, Drain> drains = new HashMap<>();
    private final Map<String, String> outcomes = new LinkedHashMap<>();
    private final Map<Long, String> valueByMatch = new HashMap<>();
    private final List<long[]> acknowledgedSequences = new ArrayList<>();
    private final Map<String, ObservedRevision> shownRevisions = new HashMap<>();
    private final List<GateChange> gateChanges = new ArrayList<>();
    private final Map<String, ObservedRevision> appliedGateChanges = new HashMap<>();
    private final Map<String, List<HomeRegions>> homesByTenant = new HashMap<>();
    private long newestAcknowledged;

    OperatorHistory(final Observer observer) {
        this.observer = observer;
    }

    private record ObservedRevision(long revision, long time) {}

    private record Drain(long requestedAt, long acknowledgedAt) {}

    /** One change of the gate to open or shut, when it was requested, and when it was acknowledged. */
    private record GateChange(boolean open, long requestedAt, long acknowledgedAt) {}

    /**
     * One setting of a tenant's home regions: it may be in force from its request on, and is so for sure from the
     * acknowledgement on.
     */
    private record HomeRegions(Set<String> regions, boolean removed, long requestedAt, long acknowledgedAt) {
        boolean allows(final String region) {
            return !removed && (regions.isEmpty() || regions.contains(region));
        }
    }

    void runStarted(final Observer.Run run, final long now) {
        requireHomeRegion(
                run.tenant(),
                run.region(),
                Invariant.WORKER_IN_HOME_REGION,
                "ticket " + run.requestId() + " ran in " + run.region(),
                now);
        requireHomeRegion(
                run.tenant(),
                run.gatewayRegion(),
                Invariant.GATEWAY_IN_HOME_REGION,
                "ticket " + run.requestId() + " was carried in " + run.gatewayRegion(),
                now);
        drains.values().stream()
                .filter(drain -> now - drain.requestedAt() > 5 * SECOND)
                .findFirst()
                .ifPresent(drain -> observer.exercise(Invariant.EVACUATED_ZONE));
        final Drain drain = drains.getOrDefault(run.zone(), new Drain(NEVER, NEVER));
        if (now > drain.requestedAt()) {
            observer.recordMaximum("drainAskedMs", (now - drain.requestedAt()) / 1000);
            observer.recordMaximum("drainAckedMs", Math.max(0, (now - drain.acknowledgedAt()) / 1000));
        }
        if (now - drain.acknowledgedAt() > 5 * SECOND) {
            observer.violated(
                    Invariant.EVACUATED_ZONE,
                    "zone " + run.zone() + " got ticket " + run.requestId() + " " + (now - drain.requestedAt()) / 1000
                            + " ms after it was to be emptied");
        }
        final long requiredSequence = acknowledgedSequences.stream()
                .filter(a -> now - a[0] > 3 * SECOND)
                .mapToLong(a -> a[1])
                .max()
                .orElse(0);
        if (run.revision() < requiredSequence) {
            observer.violated(
                    Invariant.TABLE_IN_FORCE,
                    "ticket " + run.requestId() + " ran under page " + run.revision() + " more than 3 s after "
                            + requiredSequence + " was acknowledged");
        }
    }

    /** Records a requested change of a tenant's home regions; the returned task records its acknowledgement. */
    public Runnable homesRequested(
            final String tenant, final Set<String> regions, final boolean removed, final long requestedAt) {
        final List<HomeRegions> homes = homesByTenant.computeIfAbsent(tenant, k -> new ArrayList<>());
        final int index = homes.size();
        homes.add(new HomeRegions(regions, removed, requestedAt, NEVER));
        return () -> homes.set(index, new HomeRegions(regions, removed, requestedAt, observer.now()));
    }

    /**
     * Checks that a tenant's data may be in a region, according to any setting of its home regions that may still be in force.
     *
     * @param invariant the invariant that is violated if none allows the region
     * @param what      the beginning of the violation's text
     */
    public void requireHomeRegion(
            final String tenant, final String region, final Invariant invariant, final String what, final long now) {
        final List<HomeRegions> homes = homesByTenant.getOrDefault(tenant, List.of());
        int firstPossible = 0;
        for (int i = 0; i < homes.size(); i++) {
            firstPossible = now - homes.get(i).acknowledgedAt() > 3 * SECOND ? i : firstPossible;
        }
        final List<HomeRegions> possible = homes.subList(firstPossible, homes.size());
        if (possible.stream().anyMatch(h -> h.removed() || !h.regions().isEmpty())) {
            observer.exercise(invariant);
        }
        if (!possible.isEmpty() && possible.stream().noneMatch(h -> h.allows(region))) {
            observer.violated(invariant, what + ", no home of " + tenant);
        }
    }

    /** Checks that the revision in a gateway's placement isn't older than one that it returned more than 250 ms ago. */
    public void revisionObserved(final String gateway, final long revision, final long now) {
        final ObservedRevision last = shownRevisions.getOrDefault(gateway, new ObservedRevision(0, 0));
        if (revision < last.revision() && now - last.time() > SECOND / 4) {
            observer.violated(
                    Invariant.MONOTONIC_TABLE,
                    "gateway " + gateway + " went from page " + last.revision() + " to " + revision + " after "
                            + (now - last.time()) / 1000 + " ms");
        }
        if (revision > last.revision()) {
            shownRevisions.put(gateway, new ObservedRevision(revision, now));
        }
    }

    /** Records a requested change of the gate; the returned task records its acknowledgement. */
    public Runnable gateChangeRequested(final boolean open, final long requestedAt) {
        final int index = gateChanges.size();
        gateChanges.add(new GateChange(open, requestedAt, NEVER));
        return () -> gateChanges.set(index, new GateChange(open, requestedAt, observer.now()));
    }

    /**
     * Checks that a gateway's decision agrees with a gate change that may be in force, that is, with none that was superseded
     * by one acknowledged more than 3 s ago.
     *
     * @return the index of the newest gate change that agrees with the decision, or -1 if there is none or it can't be known
     */
    public int requireGateInForce(final String gateway, final boolean open, final String what, final long now) {
        final int oldestAllowed = newestBindingChange(now);
        if (oldestAllowed > 0) {
            observer.exercise(Invariant.TABLE_IN_FORCE);
        }
        for (int i = gateChanges.size() - 1; i >= Math.max(0, oldestAllowed); i--) {
            if (gateChanges.get(i).open() == open) {
                return oldestAllowed < 0 ? -1 : i;
            }
        }
        if (oldestAllowed >= 0) {
            observer.violated(
                    Invariant.TABLE_IN_FORCE,
                    what + " at " + gateway + " as if the gate were " + (open ? "open" : "shut") + " "
                            + (now - gateChanges.get(oldestAllowed).acknowledgedAt()) / 1000
                            + " ms after the other was acknowledged");
        }
        return -1;
    }

    /** Returns the index of the last gate change that every gateway must apply by now, or -1. */
    private int newestBindingChange(final long now) {
        int newest = -1;
        for (int i = 0; i < gateChanges.size(); i++) {
            newest = now - gateChanges.get(i).acknowledgedAt() > 3 * SECOND ? i : newest;
        }
        return newest;
    }

    /**
     * Checks that a gateway's decision agrees with the gate, and doesn't fall back to an older gate change than one that it
     * applied more than 250 ms ago. The observer infers a gateway's table from such decisions alone.
     */
    public void gateObserved(final String gateway, final boolean open, final String what, final long now) {
        final int newestPossible = requireGateInForce(gateway, open, what, now);
        if (newestPossible < 0) {
            return;
        }
        final ObservedRevision last = appliedGateChanges.getOrDefault(gateway, new ObservedRevision(-1, 0));
        if (last.revision() >= 0 && gateChanges.size() > 1) {
            observer.exercise(Invariant.MONOTONIC_TABLE);
        }
        if (newestPossible < last.revision() && now - last.time() > SECOND / 4) {
            observer.violated(
                    Invariant.MONOTONIC_TABLE,
                    what + " at " + gateway + " as if the gate were " + (open ? "open" : "shut") + " "
                            + (now - last.time()) / 1000 + " ms after it obeyed the newer table");
        }
        int oldestPossible = newestPossible;
        for (int i = newestPossible; i >= newestBindingChange(now); i--) {
            oldestPossible = gateChanges.get(i).open() == open ? i : oldestPossible;
        }
        if (oldestPossible > last.revision()) {
            appliedGateChanges.put(gateway, new ObservedRevision(oldestPossible, now));
        }
    }

    /** Records that an operator requested to drain a zone. */
    public void drainRequested(final String zone, final long now) {
        drains.putIfAbsent(zone, new Drain(now, NEVER));
    }

    /** Records that a drain was acknowledged. */
    public void drainAcknowledged(final String zone, final long now) {
        drains.computeIfPresent(zone, (k, d) -> d.acknowledgedAt() == NEVER ? new Drain(d.requestedAt(), now) : d);
    }

    /** Records that a zone may be in service again: an operator requested that, or the outcome of a race is unknown. */
    public void drainWithdrawn(final String zone) {
        drains.remove(zone);
    }

    /**
     * Records the reply to a change of the table.
     *
     * @param value    the rate that identifies the change, as {@link Operators#cellValue} returns it
     * @param outcome  kept, rejected or unknown
     * @param sequence the sequence number at which the change was applied
     * @param match    the sequence number on top of which it was made, or -1 for any
     */
    public void changeEnded(
            final String value, final String outcome, final long sequence, final long match, final long now) {
        observer.count("change-" + outcome);
        outcomes.put(value, outcome);
        if (outcome.equals("rejected")) {
            observer.exercise(Invariant.REJECTED_CHANGE);
        }
        if (outcome.equals("kept")) {
            if (sequence > newestAcknowledged) {
                newestAcknowledged = sequence;
                acknowledgedSequences.add(new long[] {now, sequence});
            }
            if (match >= 0) {
                final String rival = valueByMatch.getOrDefault(match, value);
                valueByMatch.putIfAbsent(match, value);
                if (!rival.equals(value)) {
                    observer.violated(
                            Invariant.REJECTED_CHANGE,
                            "two changes were kept against sequence " + match + ": " + rival + " and " + value);
                }
            }
        }
    }

    /** Returns the highest sequence number that was acknowledged to an operator. */
    public long newestAcknowledged() {
        return newestAcknowledged;
    }

    /**
     * Checks a read of the table.
     *
     * @param newestBefore the highest sequence number that was acknowledged before the read
     * @param disturbed    whether the chain wasn't complete at the beginning or the end of the read
     */
    public void tableRead(
            final long newestBefore, final long sequence, final Set<String> values, final boolean disturbed) {
        observer.count("reads");
        if (disturbed) {
            observer.exercise(Invariant.LINEARIZABLE_READ);
        }
        if (sequence < newestBefore) {
            observer.violated(
                    Invariant.LINEARIZABLE_READ,
                    "a table at sequence " + sequence + " was read back after " + newestBefore + " was acknowledged");
        }
        valuesObserved(values, "was read back");
    }

    /** Checks that none of the values that a table holds belongs to a rejected change. */
    public void valuesObserved(final Set<String> values, final String where) {
        for (final String value : values) {
            if (outcomes.getOrDefault(value, "").equals("rejected")) {
                observer.violated(Invariant.REJECTED_CHANGE, "change " + value + " was rejected and " + where);
            }
        }
    }
}
