package silverlatch.replication;

import java.util.List;
import silverlatch.wire.Message;
import silverlatch.wire.ReplicationMessage;

/**
 * Asks the seeds or the voters for the current view on behalf of a replica outside the chain. {@link Bootstrap} and {@link ChainReplica}
 * share its timer, so that a replica sends one round of requests per interval, whatever their purpose.
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

    /** Replaces the addresses to ask. */
    void updateSeeds(final List<String> addresses) {
        seeds = List.copyOf(addresses);
    }

    /** Returns the addresses to ask. */
    List<String> seeds() {
        return seeds;
    }

    /** Starts a round if the last one started at least the interval ago; returns whether it did. */
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

    /**
     * Asks the voters for a later view, with a lease request under the number of the previous view: the voters reply to an outdated number
     * with their installed view, and don't count the request as a heartbeat.
     */
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

    /** Sends the seeds a lease request as a heartbeat; a seed that has installed a later view replies with that view. */
    void sendHeartbeatToSeeds(final boolean hearsMajority, final long now) {
        sendToSeeds(
                new ReplicationMessage.LeaseRequest(role.view().number(), now, settings.self(), false, hearsMajority));
    }
}
