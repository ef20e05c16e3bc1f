package silverlatch.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import silverlatch.log.LogRecord;
import silverlatch.wire.ReplicationMessage;

/**
 * The acceptor of single-decree Paxos for the view number after the installed one. Each number is decided once, by a majority of the
 * voters of the previous view. {@link ChainReplica} passes it the requests of proposers and, on start, the records of the log.
 *
 * <p>Invariants: the promised ballot never decreases while the same view is installed; a promise or an acceptance is synced to disk
 * before it is sent; an acceptance is sent only after all leases have expired that this voter granted to members which the accepted
 * view removes from the chain. A voter that has accepted a view grants no more leases under the installed view.
 */
final class ViewAcceptor {
    private final ReplicaSettings settings;
    private final ReplicaRole role;
    private final GrantedLeases grantedLeases;
    private final EffectQueue effects;
    private final List<DelayedAccept> delayedAccepts = new ArrayList<>();
    private long promisedBallot;
    private long acceptedBallot;
    private Optional<View> acceptedView = Optional.empty();

    ViewAcceptor(
            final ReplicaSettings settings,
            final ReplicaRole role,
            final GrantedLeases grantedLeases,
            final EffectQueue effects) {
        this.settings = settings;
        this.role = role;
        this.grantedLeases = grantedLeases;
        this.effects = effects;
    }

    /** Returns the highest ballot promised or accepted for the next view number, or 0. */
    long promisedBallot() {
        return promisedBallot;
    }

    /** Returns the ballot of the accepted view, or 0 if none was accepted. */
    long acceptedBallot() {
        return acceptedBallot;
    }

    /** Returns the view accepted for the next view number, if any. */
    Optional<View> acceptedView() {
        return acceptedView;
    }

    /**
     * Handles a prepare request: promises a ballot that is higher than any promised before, and sends the highest promised ballot to
     * the proposer of a lower one. If the number is already decided, replies with the installed view.
     *
     * @return whether a new promise was made
     */
    boolean handlePrepare(final ReplicationMessage.Prepare request, final String sender, final long now) {
        if (request.number() <= role.view().number()) {
            effects.send(sender, new ReplicationMessage.ViewDecided(role.view()));
            return false;
        }
        if (!votesOn(request.number())) {
            return false;
        }
        if (request.ballot() > promisedBallot) {
            promise(request, sender, now);
            return true;
        }
        if (request.ballot() < promisedBallot) {
            effects.send(sender, new ReplicationMessage.Preempted(request.number(), promisedBallot));
        }
        return false;
    }

    private void promise(final ReplicationMessage.Prepare request, final String sender, final long now) {
        promisedBallot = request.ballot();
        final ReplicationMessage.Promise reply = new ReplicationMessage.Promise(
                request.number(),
                request.ballot(),
                settings.self().id(),
                acceptedBallot,
                acceptedView.stream().toList());
        effects.persist(
                List.of(new LogRecord.Promised(request.number(), request.ballot())),
                now,
                syncedAt -> effects.send(sender, reply));
    }

    /** Handles an accept request: accepts the view unless a higher ballot was promised. */
    void handleAccept(final ReplicationMessage.Accept request, final String sender, final long now) {
        if (!votesOn(request.number())) {
            return;
        }
        if (request.ballot() < promisedBallot) {
            effects.send(sender, new ReplicationMessage.Preempted(request.number(), promisedBallot));
            return;
        }
        recordAccepted(request.ballot(), request.view());
        final ReplicationMessage.Accepted reply = new ReplicationMessage.Accepted(
                request.number(), request.ballot(), settings.self().id());
        effects.persist(
                List.of(new LogRecord.Accepted(request.number(), request.ballot(), request.view())),
                now,
                syncedAt -> sendAccepted(request, sender, reply, syncedAt));
    }

    private void sendAccepted(
            final ReplicationMessage.Accept request,
            final String sender,
            final ReplicationMessage.Accepted reply,
            final long now) {
        final long sendAt = grantedLeases.leaseExpiryOfRemovedMembers(request.view());
        if (now >= sendAt) {
            effects.send(sender, reply);
        } else {
            delayedAccepts.add(new DelayedAccept(sendAt, sender, reply));
        }
    }

    /** Sends the delayed acceptances for which the leases of the removed members have expired; called on each tick. */
    void sendDelayed(final long now) {
        for (final DelayedAccept accept : List.copyOf(delayedAccepts)) {
            if (accept.sendAt() <= now) {
                delayedAccepts.remove(accept);
                if (isNext(accept.reply().number())) {
                    effects.send(accept.address(), accept.reply());
                }
            }
        }
    }

    /** Clears promise, acceptance and delayed replies after a view was installed: they were for that view's number. */
    void installView() {
        clear();
        delayedAccepts.clear();
    }

    /** Restores promise and acceptance from a snapshot while the log is replayed. */
    void replay(final LogRecord.Snapshot snapshot) {
        promisedBallot = snapshot.promisedBallot();
        acceptedBallot = snapshot.acceptedBallot();
        acceptedView = snapshot.acceptedView().stream().findFirst();
    }

    /** Clears promise and acceptance for a newer installed view while the log is replayed; called before the role's replay. */
    void replay(final LogRecord.ViewInstalled installed) {
        if (installed.view().number() > role.view().number()) {
            clear();
        }
    }

    /** Restores a promise while the log is replayed. */
    void replay(final LogRecord.Promised promised) {
        if (isNext(promised.viewNumber())) {
            promisedBallot = promised.ballot();
        }
    }

    /** Restores an acceptance while the log is replayed. */
    void replay(final LogRecord.Accepted accepted) {
        if (isNext(accepted.viewNumber())) {
            recordAccepted(accepted.ballot(), accepted.view());
        }
    }

    private void recordAccepted(final long ballot, final View view) {
        promisedBallot = ballot;
        acceptedBallot = ballot;
        acceptedView = Optional.of(view);
    }

    private void clear() {
        promisedBallot = 0;
        acceptedBallot = 0;
        acceptedView = Optional.empty();
    }

    private boolean votesOn(final long number) {
        return isNext(number) && role.isVoter();
    }

    private boolean isNext(final long number) {
        return number == role.view().number() + 1;
    }

    /** An acceptance that is sent once the leases of the removed members have expired, {@code sendAt} in microseconds. */
    private record DelayedAccept(long sendAt, String address, ReplicationMessage.Accepted reply) {}
}
