package silverlatch.simulation.explore;

import java.util.Set;
import silverlatch.safeguard.Safeguard;
import silverlatch.safeguard.Safeguards;

/** A variant of the replica with one safeguard disabled, which the explorer must detect. */
public enum Mutant {
    /** All safeguards are enabled. */
    NONE(Set.of(), Set.of()),
    /** A tail answers reads without holding a lease. */
    LEASE(Set.of(Safeguard.LEASE), Set.of(Property.FRESH_READ, Property.LINEARIZABLE, Property.VIEW_FENCED)),
    /** A voter accepts the next view before the leases that it granted have expired. */
    LEASE_WAIT(
            Set.of(Safeguard.LEASE_WAIT),
            Set.of(Property.ONE_OWNER, Property.FRESH_READ, Property.LINEARIZABLE, Property.VIEW_FENCED)),
    /** A replica accepts replication messages of other views. */
    FENCE(
            Set.of(Safeguard.FENCE),
            Set.of(Property.VIEW_FENCED, Property.LINEARIZABLE, Property.ONE_HISTORY, Property.DURABLE)),
    /** A voter sends a promise or an acceptance before it is synced. */
    PROMISE(Set.of(Safeguard.PROMISE), Set.of(Property.ONE_VIEW)),
    /** A conditional write is applied although a concurrent write changed the revision that it expects. */
    COMPARE_AND_SET(Set.of(Safeguard.COMPARE_AND_SET), Set.of(Property.LINEARIZABLE)),
    /** The configurations that were accepted and then replaced aren't retained, so a resent one is decided anew. */
    ACCEPTED_REMEMBERED(Set.of(Safeguard.ACCEPTED_REMEMBERED), Set.of(Property.REFUSED_ORDER, Property.LINEARIZABLE)),
    /** A write is rejected because of an uncommitted write, which may never be committed. */
    COMMITTED_REFUSAL(Set.of(Safeguard.COMMITTED_REFUSAL), Set.of(Property.REFUSED_ORDER, Property.LINEARIZABLE)),
    /** A chain with fewer replicas than the required copies acknowledges writes. */
    COPIES(Set.of(Safeguard.COPIES), Set.of(Property.DURABLE)),
    /** A replica joins the chain without repairing the ranges in which its digests differ. */
    REPAIR_DIGEST(Set.of(Safeguard.REPAIR_DIGEST), Set.of(Property.ONE_HISTORY)),
    /** A replica under repair drops the entries that its repair source has synced but doesn't know to be committed. */
    REPAIR_PENDING(Set.of(Safeguard.REPAIR_PENDING), Set.of(Property.DURABLE)),
    /** A chain member reports the end of its log before its view is synced to disk. */
    VIEW_SYNC(
            Set.of(Safeguard.VIEW_SYNC),
            Set.of(Property.RECOVERS, Property.FRESH_READ, Property.LINEARIZABLE, Property.ONE_HISTORY)),
    /** No replica takes over when all members of a short chain are lost. */
    TAKEOVER(Set.of(Safeguard.TAKEOVER), Set.of(Property.RECOVERS)),
    /** A chain that lost a replica is not repaired. */
    CHAIN_REPAIR(Set.of(Safeguard.CHAIN_REPAIR), Set.of(Property.RECOVERS)),
    /** A command that waited in a frozen process counts as received when the process is resumed. */
    PAUSE(Set.of(Safeguard.PAUSE), Set.of(Property.LATE_COMMAND)),
    /** A command of a caller that may have left is put on the newest revision at once. */
    CALLER_PRESENCE(Set.of(Safeguard.CALLER_PRESENCE), Set.of(Property.LATE_COMMAND)),
    /** A command on the zone takes effect on whatever is newest, also when it arrives late. */
    LATEST_EVACUATION(Set.of(Safeguard.LATEST_EVACUATION), Set.of(Property.LATE_COMMAND, Property.LINEARIZABLE)),
    /** A log write is reported as synced before it is; the simulated world does this, not the replica. */
    SYNC(Set.of(), Set.of(Property.DURABLE));

    private final Set<Safeguard> disabledSafeguards;
    private final Set<Property> expected;

    Mutant(final Set<Safeguard> down, final Set<Property> expected) {
        this.disabledSafeguards = down;
        this.expected = expected;
    }

    /** Returns the properties by which this mutant must be detected; the violation of another one doesn't count. */
    Set<Property> expected() {
        return expected;
    }

    /** Returns the safeguards of the replica, with those of this mutant disabled. */
    Safeguards safeguards() {
        return new Safeguards(disabledSafeguards);
    }
}
