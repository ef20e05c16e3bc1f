package silverlatch.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import silverlatch.log.LogRecord;
import silverlatch.wire.ReplicationMessage;

/**
 * The acceptor of single-decree Paxos for the number after the installed view: each number is decided once, by a majority of the voters
 * of the view before. {@link ChainReplica} hands it the requests of proposers and the records of the log.
 *
 * <p>Invariants: the promised ballot never falls while a view stands; a promise or an acceptance is synced before it is sent; an
 * acceptance is sent only once all leases have run out that this voter granted to members that the accepted view takes out. A voter
 * that has accepted a view grants no more leases.
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

    /** The highest ballot promised or accepted for the next number, or 0. */
    long promisedBallot() {
        return promisedBallot;
    }

    /** The ballot of the accepted view, or 0. */
    long acceptedBallot() {
        return acceptedBallot;
    }

    /** The view accepted for the next number. */
    Optional<View> acceptedView() {
        return acceptedView;
    }

    /** Answers a prepare; true where it made a new promise. */
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

    /** Accepts a view, unless a higher ballot was promised. */
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

    /** Sends the acceptances whose leases have run out; called by each tick. */
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

    /** A view was installed: the register of the number after it begins empty. */
    void installView() {
        clear();
        delayedAccepts.clear();
    }

    /** Takes over the register of a snapshot while the log is read. */
    void replay(final LogRecord.Snapshot snapshot) {
        promisedBallot = snapshot.promisedBallot();
        acceptedBallot = snapshot.acceptedBallot();
        acceptedView = snapshot.acceptedView().stream().findFirst();
    }

    /** Takes over an installed view while the log is read, before the role does. */
    void replay(final LogRecord.ViewInstalled installed) {
        if (installed.view().number() > role.view().number()) {
            clear();
        }
    }

    /** Takes over a promise while the log is read. */
    void replay(final LogRecord.Promised promised) {
        if (isNext(promised.viewNumber())) {
            promisedBallot = promised.ballot();
        }
    }

    /** Takes over an acceptance while the log is read. */
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

    private record DelayedAccept(long sendAt, String address, ReplicationMessage.Accepted reply) {}
}
