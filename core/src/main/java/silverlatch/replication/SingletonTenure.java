package silverlatch.replication;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * Tracks for how long this process has owned the singleton role without another owner in between. The owner may call external providers
 * only after a minimum tenure. Confined to the node's event loop; times are microseconds of the monotonic clock.
 *
 * <p><b>One owner per token.</b> The fencing token is the number of the view. Each number is decided once, by a majority of the voters of
 * the previous view, and the view names one owner; numbers only increase. So no two processes use the same token, and a later owner has a
 * higher token.
 *
 * <p><b>Calls of owners A, B, A are never closer than the tenure.</b> Assume that B makes a call between two calls of A. Then B owned a
 * view after the view of A's first call and before that of A's second call. A's first call was made before A's lease expired, and B became
 * owner only after that. B made its call at least one tenure after it first held the token, so at least one tenure after A's first call. A
 * made its second call at least one tenure after it held a token again, whose view follows B's. So at least two tenures lie between the
 * two calls of A.
 *
 * <p><b>What doesn't interrupt a tenure.</b> Views with consecutive numbers, all owned by this process, leave no view for another owner.
 * The same holds for a lease that expired and was granted again for the same view: voters that have accepted the next view grant no lease
 * for this one, so the next view was not decided meanwhile, no matter how long the process was frozen. A view number that this process
 * missed may have had another owner, so the tenure restarts. It also restarts in a new process.
 *
 * <p><b>Late calls.</b> A call sent under a lease may arrive after the lease expired, if the process was frozen in between. If B has
 * already made a call, the provider rejects the lower token; if not, the late call has the same effect as one that arrived in time. A
 * token that is rejected for one resource may still be accepted for another one for which B hasn't made a call, so the tenure must be
 * longer than the time after which a call is aborted. If a response is lost, the caller doesn't know whether the call took effect; the
 * caller or its successor repeats it, and a usage report is repeated with the same content.
 */
public final class SingletonTenure {
    private final long tenureMicros;
    private OptionalLong lastToken = OptionalLong.empty();
    private long ownedSince;

    /** Creates the tenure of a process that doesn't own the role yet, with the minimum tenure in microseconds. */
    public SingletonTenure(final long tenureMicros) {
        this.tenureMicros = tenureMicros;
    }

    /** Updates the current fencing token, which is empty if this process isn't the owner; returns whether the tenure restarts with it. */
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

    /** Returns whether this process may make calls with this token: it is the last observed one, and the minimum tenure has passed. */
    public boolean mayAct(final long fencingToken, final long now) {
        return lastToken.isPresent() && lastToken.getAsLong() == fencingToken && now - ownedSince >= tenureMicros;
    }
}
