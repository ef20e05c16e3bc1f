package silverlatch.simulation.explore;

import java.util.Set;
import silverlatch.safeguard.Safeguard;
import silverlatch.safeguard.Safeguards;

/** A variant of the replica with one safeguard let down, which the explorer must catch. */
public enum Mutant {
    /** All safeguards stand. */
    NONE(Set.of()),
    /** A tail answers reads without a lease. */
    LEASE(Set.of(Safeguard.LEASE)),
    /** A voter accepts a successor before the leases it granted have run out. */
    LEASE_WAIT(Set.of(Safeguard.LEASE_WAIT)),
    /** Replication messages of other views are accepted. */
    FENCE(Set.of(Safeguard.FENCE)),
    /** A promise or an acceptance is sent before it is synced. */
    PROMISE(Set.of(Safeguard.PROMISE)),
    /** A write that lost a race is taken all the same. */
    MATCH(Set.of(Safeguard.MATCH)),
    /** A chain shorter than the required copies acknowledges. */
    COPIES(Set.of(Safeguard.COPIES)),
    /** A replica joins without the ranges in which its digests differ. */
    DIGEST(Set.of(Safeguard.DIGEST)),
    /** A chain that lost a replica is not repaired. */
    MEND(Set.of(Safeguard.MEND)),
    /** A write to the log is reported as synced before it is; the harness does this, not the replica. */
    SYNC(Set.of());

    private final Set<Safeguard> down;

    Mutant(final Set<Safeguard> down) {
        this.down = down;
    }

    /** The safeguards that stand. */
    Safeguards safeguards() {
        return new Safeguards(down);
    }
}
