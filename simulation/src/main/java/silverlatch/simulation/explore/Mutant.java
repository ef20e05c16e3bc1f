package silverlatch.simulation.explore;

import java.util.Set;
import silverlatch.safeguard.Safeguard;
import silverlatch.safeguard.Safeguards;

/** A variant of the replica with one safeguard let down, which the explorer must catch. */
public enum Mutant {
    /** All safeguards stand. */
    NONE(Set.of(), Set.of()),
    /** A tail answers reads without a lease. */
    LEASE(Set.of(Safeguard.LEASE), Set.of(Property.FRESH_READ, Property.LINEARIZABLE, Property.VIEW_FENCED)),
    /** A voter accepts a successor before the leases it granted have run out. */
    LEASE_WAIT(
            Set.of(Safeguard.LEASE_WAIT),
            Set.of(Property.ONE_OWNER, Property.FRESH_READ, Property.LINEARIZABLE, Property.VIEW_FENCED)),
    /** Replication messages of other views are accepted. */
    FENCE(
            Set.of(Safeguard.FENCE),
            Set.of(Property.VIEW_FENCED, Property.LINEARIZABLE, Property.ONE_HISTORY, Property.DURABLE)),
    /** A promise or an acceptance is sent before it is synced. */
    PROMISE(Set.of(Safeguard.PROMISE), Set.of(Property.ONE_VIEW)),
    /** A write that lost a race is taken all the same. */
    COMPARE_AND_SET(Set.of(Safeguard.COMPARE_AND_SET), Set.of(Property.LINEARIZABLE)),
    /** What was taken and followed by another configuration is forgotten. */
    ACCEPTED_REMEMBERED(Set.of(Safeguard.ACCEPTED_REMEMBERED), Set.of(Property.REFUSED_ORDER, Property.LINEARIZABLE)),
    /** A refusal rests on what may never be committed. */
    COMMITTED_REFUSAL(Set.of(Safeguard.COMMITTED_REFUSAL), Set.of(Property.REFUSED_ORDER, Property.LINEARIZABLE)),
    /** A chain shorter than the required copies acknowledges. */
    COPIES(Set.of(Safeguard.COPIES), Set.of(Property.DURABLE)),
    /** A replica joins without the ranges in which its digests differ. */
    REPAIR_DIGEST(Set.of(Safeguard.REPAIR_DIGEST), Set.of(Property.ONE_HISTORY)),
    /** A replica under repair drops what its source has synced and doesn't know to be committed. */
    REPAIR_PENDING(Set.of(Safeguard.REPAIR_PENDING), Set.of(Property.DURABLE)),
    /** A member tells how far its log goes before its view is on disk. */
    VIEW_SYNC(
            Set.of(Safeguard.VIEW_SYNC),
            Set.of(Property.RECOVERS, Property.FRESH_READ, Property.LINEARIZABLE, Property.ONE_HISTORY)),
    /** Nobody takes over where all members of a short chain are lost. */
    TAKEOVER(Set.of(Safeguard.TAKEOVER), Set.of(Property.RECOVERS)),
    /** A chain that lost a replica is not repaired. */
    CHAIN_REPAIR(Set.of(Safeguard.CHAIN_REPAIR), Set.of(Property.RECOVERS)),
    /** A write to the log is reported as synced before it is; the harness does this, not the replica. */
    SYNC(Set.of(), Set.of(Property.DURABLE));

    private final Set<Safeguard> disabledSafeguards;
    private final Set<Property> expected;

    Mutant(final Set<Safeguard> down, final Set<Property> expected) {
        this.disabledSafeguards = down;
        this.expected = expected;
    }

    /** The properties by which it must be caught; another one doesn't count. */
    Set<Property> expected() {
        return expected;
    }

    /** The safeguards that stand. */
    Safeguards safeguards() {
        return new Safeguards(disabledSafeguards);
    }
}
