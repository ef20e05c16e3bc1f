package silverlatch.replication;

import java.util.List;
import silverlatch.wire.Message;
import silverlatch.wire.ReplicationMessage;

/**
 * Where a replica that has no place in a chain asks for the view, and when it asked last. {@link Bootstrap} and {@link ChainReplica}
 * share its timer, so that a replica asks once in a while whatever it asks for.
 */
final class Discovery {
    private final ReplicaSettings settings;
    private final ReplicaRole role;
    private final EffectQueue effects;
    private List<String> seeds;
    private long lastRoundAt;

    Discovery(final ReplicaSettings settings, final ReplicaRole role, final EffectQueue effects) {
        this.settings = settings;
        this.role = role;
        this.effects = effects;
        this.seeds = settings.seeds();
    }

    /** The addresses to ask from now on. */
    void updateSeeds(final List<String> addresses) {
        seeds = List.copyOf(addresses);
    }

    /** The addresses to ask. */
    List<String> seeds() {
        return seeds;
    }

    /** Begins a round where the last one is at least so many microseconds ago; false where it is too early. */
    boolean beginRound(final long intervalMicros, final long now) {
        if (now - lastRoundAt < intervalMicros) {
            return false;
        }
        lastRoundAt = now;
        return true;
    }

    /** Sends a message to all seeds. */
    void sendToSeeds(final Message message) {
        seeds.forEach(seed -> effects.send(seed, message));
    }

    /** Asks the voters under the view before this one: the reply is the view as it is now, and the asker counts as silent. */
    void requestLaterView(final long now) {
        if (beginRound(ReplicaSettings.RETRY_MICROS, now)) {
            final View view = role.view();
            view.voters()
                    .forEach(voter -> effects.send(
                            voter.address(),
                            new ReplicationMessage.LeaseRequest(
                                    view.number() - 1, now, settings.self(), false, false)));
        }
    }

    /** Shows the seeds the installed view; one that knows a later view replies with it. */
    void sendHeartbeatToSeeds(final boolean hearsMajority, final long now) {
        sendToSeeds(
                new ReplicationMessage.LeaseRequest(role.view().number(), now, settings.self(), false, hearsMajority));
    }
}
