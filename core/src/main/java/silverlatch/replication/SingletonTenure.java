package silverlatch.replication;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * For how long this process has owned the singleton role without another owner between: only after a while it acts outside the cluster.
 * Owned by the node's event loop; times are microseconds of the monotonic clock.
 *
 * <p><b>One owner a token.</b> The token is the number of the view. A number is decided once, by a majority of the voters of the view
 * before, and names one owner; numbers rise. So no token serves two processes, and a later owner's token is higher.
 *
 * <p><b>Never A, B, A within the tenure.</b> Let B act between two acts of A. B then owned a view that comes after the one of A's first act
 * and before that of its second. A's first act came before A's lease ran out, and B becomes the owner only after that. B's act came at
 * least a tenure after B first held the token, so at least a tenure after A's first act; and A's second act at least a tenure after A
 * holds a token again, whose view follows B's. So two tenures lie between the acts of A.
 *
 * <p><b>What is no gap.</b> Views that follow each other without a missing number, all owned by this process, leave no view for another
 * owner. Neither does a lease that lapsed and came back for the same view: voters that have accepted the next view grant none for this one,
 * so the next one was not decided meanwhile, however long the process stood still. A number that is missing may have had another
 * owner: the tenure begins anew. So it does in a new process.
 *
 * <p><b>Late calls.</b> A call that left under a lease may arrive after it, when the process was frozen in between. Where B has acted, the
 * provider refuses the lower token; where B hasn't, it is as if it had come in time. What is refused for one subject may still
 * be accepted for another on which B hasn't acted; so the tenure must be longer than a call may take before it is aborted. Where
 * a response is lost, the caller doesn't know whether it acted; it or its successor repeats the call, with the same content where
 * that is a report of usage.
 */
public final class SingletonTenure {
    private final long tenureMicros;
    private OptionalLong lastToken = OptionalLong.empty();
    private long ownedSince;

    /** The tenure of a process that doesn't own the role. */
    public SingletonTenure(final long tenureMicros) {
        this.tenureMicros = tenureMicros;
    }

    /** Takes the fencing token as of now, empty where there is none; returns whether the tenure begins anew with it. */
    public boolean observe(final Optional<Long> fencingToken, final long now) {
        if (fencingToken.isEmpty()) {
            return false;
        }
        final long token = fencingToken.get();
        final boolean isContinuous =
                lastToken.isPresent() && token >= lastToken.getAsLong() && token <= lastToken.getAsLong() + 1;
        if (!isContinuous) {
            ownedSince = now;
        }
        lastToken = OptionalLong.of(token);
        return !isContinuous;
    }

    /** Whether this process may act under a token now: the one that was observed last, after a whole tenure. */
    public boolean mayAct(final long fencingToken, final long now) {
        return lastToken.isPresent() && lastToken.getAsLong() == fencingToken && now - ownedSince >= tenureMicros;
    }
}
