package silverlatch.simulation.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What operators asked for and were told, held against what workers and consumers saw of it: tables and the gate (one
 * cell whose effect shows at once), homes, and zones.
 */
public final class OperatorHistory {
    private static final long SECOND = 1_000_000L;
    private static final long NEVER = Long.MAX_VALUE / 2;
    private final Observer observer;
    private final Map<String, Drain> drains = new HashMap<>();
    private final Map<String, String> outcomes = new LinkedHashMap<>();
    private final Map<Long, String> valueByMatch = new HashMap<>();
    private final List<long[]> acknowledgedSequences = new ArrayList<>();
    private final Map<String, ObservedRevision> shown = new HashMap<>();
    private final List<GateChange> gate = new ArrayList<>();
    private final Map<String, ObservedRevision> obeyed = new HashMap<>();
    private final Map<String, List<HomeRegions>> homesByTenant = new HashMap<>();
    private long newestAcknowledged;

    OperatorHistory(final Observer watch) {
        this.observer = watch;
    }

    private record ObservedRevision(long revision, long time) {}

    private record Drain(long requestedAt, long acknowledgedAt) {}

    /** One turn of the gate: open or shut, when it was asked for, when it was acknowledged. */
    private record GateChange(boolean open, long requestedAt, long acknowledgedAt) {}

    /** Where a tenant was at home, from the asking on, and since when for sure. */
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

    /** Homes of a tenant from now on, as an operator asked; gives what to call when it is acknowledged. */
    public Runnable homesRequested(
            final String tenant, final Set<String> regions, final boolean removed, final long requestedAt) {
        final List<HomeRegions> homes = homesByTenant.computeIfAbsent(tenant, k -> new ArrayList<>());
        final int index = homes.size();
        homes.add(new HomeRegions(regions, removed, requestedAt, NEVER));
        return () -> homes.set(index, new HomeRegions(regions, removed, requestedAt, observer.now()));
    }

    /** Something of a tenant is in a region: held against all its homes that may still count. */
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

    /** A gateway showed under which page it picks. */
    public void shown(final String gateway, final long revision, final long now) {
        final ObservedRevision last = shown.getOrDefault(gateway, new ObservedRevision(0, 0));
        if (revision < last.revision() && now - last.time() > SECOND / 4) {
            observer.violated(
                    Invariant.MONOTONIC_TABLE,
                    "gateway " + gateway + " went from page " + last.revision() + " to " + revision + " after "
                            + (now - last.time()) / 1000 + " ms");
        }
        if (revision > last.revision()) {
            shown.put(gateway, new ObservedRevision(revision, now));
        }
    }

    /** An operator asks that the gate be opened or shut; gives what to call when it is acknowledged. */
    public Runnable gate(final boolean open, final long requestedAt) {
        final int index = gate.size();
        gate.add(new GateChange(open, requestedAt, NEVER));
        return () -> gate.set(index, new GateChange(open, requestedAt, observer.now()));
    }

    /** Something came of a gateway's table at this moment: the gate held it up or not. Gives the turns that it can have known, if any. */
    public int obeyed(final String gateway, final boolean open, final String what, final long now) {
        final int oldestAllowed = newestBindingChange(now);
        if (oldestAllowed > 0) {
            observer.exercise(Invariant.TABLE_IN_FORCE);
        }
        for (int i = gate.size() - 1; i >= Math.max(0, oldestAllowed); i--) {
            if (gate.get(i).open() == open) {
                return oldestAllowed < 0 ? -1 : i;
            }
        }
        if (oldestAllowed >= 0) {
            observer.violated(
                    Invariant.TABLE_IN_FORCE,
                    what + " at " + gateway + " as if the gate were " + (open ? "open" : "shut") + " "
                            + (now - gate.get(oldestAllowed).acknowledgedAt()) / 1000
                            + " ms after the other was acknowledged");
        }
        return -1;
    }

    /** The last turn that every gateway must know by now, or -1. */
    private int newestBindingChange(final long now) {
        int newest = -1;
        for (int i = 0; i < gate.size(); i++) {
            newest = now - gate.get(i).acknowledgedAt() > 3 * SECOND ? i : newest;
        }
        return newest;
    }

    /** A gateway decided by its table, which is all the observer believes of what it holds. */
    public void gateObserved(final String gateway, final boolean open, final String what, final long now) {
        final int newestPossible = obeyed(gateway, open, what, now);
        if (newestPossible < 0) {
            return;
        }
        final ObservedRevision last = obeyed.getOrDefault(gateway, new ObservedRevision(-1, 0));
        if (last.revision() >= 0 && gate.size() > 1) {
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
            oldestPossible = gate.get(i).open() == open ? i : oldestPossible;
        }
        if (oldestPossible > last.revision()) {
            obeyed.put(gateway, new ObservedRevision(oldestPossible, now));
        }
    }

    /** An operator asked to empty a zone. */
    public void drainRequested(final String zone, final long now) {
        drains.putIfAbsent(zone, new Drain(now, NEVER));
    }

    /** The order was acknowledged. */
    public void drainAcknowledged(final String zone, final long now) {
        drains.computeIfPresent(zone, (k, d) -> d.acknowledgedAt() == NEVER ? new Drain(d.requestedAt(), now) : d);
    }

    /** An operator asked to give a zone back, or it may be so for all that is known. */
    public void drainWithdrawn(final String zone) {
        drains.remove(zone);
    }

    /** What an operator was told of a change: kept, rejected or unknown. */
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

    /** The newest sequence that was acknowledged to an operator. */
    public long newestAcknowledged() {
        return newestAcknowledged;
    }

    /** A read of the table, asked for when so much was acknowledged; stirred when the chain was not whole meanwhile. */
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

    /** Values that some gateway goes by. */
    public void valuesObserved(final Set<String> values, final String where) {
        for (final String value : values) {
            if (outcomes.getOrDefault(value, "").equals("rejected")) {
                observer.violated(Invariant.REJECTED_CHANGE, "change " + value + " was rejected and " + where);
            }
        }
    }
}
