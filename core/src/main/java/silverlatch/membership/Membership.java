package silverlatch.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import silverlatch.clock.Stamp;
import silverlatch.node.Effect;
import silverlatch.node.Event;
import silverlatch.wire.MembershipMessage;
import silverlatch.wire.Message;

/**
 * Tracks which nodes belong to the fleet and which of them are alive, by a protocol similar to SWIM. A node joins
 * through seeds and sends heartbeats to a few watchers, which suspect it if they miss its heartbeats. Gossip spreads
 * the suspicion. The suspected member refutes it with a higher sequence, or is declared dead after the death
 * time-out.
 *
 * <p>For each member the newest update is valid ({@link Member#supersedes}). A node refutes wrong updates on itself.
 * This class does no input or output: updates to forward are collected for {@link #drainUpdates}, and messages and
 * log events for {@link #drain}. Only the node's event loop calls it. All times are microseconds of the node's
 * monotonic clock.
 */
public final class Membership {
    private final Settings settings;
    private final MemberTable members;
    private final FailureDetector failureDetector;
    private final JoinSchedule joinSchedule;
    private final List<Effect> effects = new ArrayList<>();
    private final List<Member> updates = new ArrayList<>();
    private Member self;
    private long lastHeartbeat;
    private long heartbeatCount;

    /**
     * The time-outs and intervals of the membership, in microseconds.
     *
     * @param heartbeatInterval the time between two heartbeats
     * @param suspicionTimeout the time without a heartbeat after which a member is suspected
     * @param deathTimeout the time after which a suspected member is declared dead unless it refutes the suspicion
     * @param joinInterval the time between two join requests to seeds at which no member is up
     * @param fullHeartbeatEvery one in this many heartbeats carries the whole member entry, the others carry its
     *                           incarnation only; if this is more than 1, the members of a received member list
     *                           aren't forwarded
     */
    public record Settings(
            long heartbeatInterval,
            long suspicionTimeout,
            long deathTimeout,
            long joinInterval,
            int fullHeartbeatEvery) {
        /** The defaults. */
        public static final Settings DEFAULTS = new Builder()
                .heartbeatInterval(250_000L)
                .suspicionTimeout(1_500_000L)
                .deathTimeout(2_000_000L)
                .joinInterval(1_000_000L)
                .fullHeartbeatEvery(1)
                .build();

        /**
         * The values for a large fleet: fewer heartbeats, only one in four of which carries the whole member entry.
         */
        public static final Settings LARGE_FLEET = DEFAULTS.toBuilder()
                .heartbeatInterval(500_000L)
                .suspicionTimeout(2_000_000L)
                .fullHeartbeatEvery(4)
                .build();

        /** Returns a builder initialized with these values. */
        public Builder toBuilder() {
            return new Builder()
                    .heartbeatInterval(heartbeatInterval)
                    .suspicionTimeout(suspicionTimeout)
                    .deathTimeout(deathTimeout)
                    .joinInterval(joinInterval)
                    .fullHeartbeatEvery(fullHeartbeatEvery);
        }

        /** Builds settings. All times are in microseconds. */
        public static final class Builder {
            private long heartbeatInterval;
            private long suspicionTimeout;
            private long deathTimeout;
            private long joinInterval;
            private int fullHeartbeatEvery;

            private Builder() {}

            /** Sets {@link Settings#heartbeatInterval}. */
            public Builder heartbeatInterval(final long micros) {
                heartbeatInterval = micros;
                return this;
            }

            /** Sets {@link Settings#suspicionTimeout}. */
            public Builder suspicionTimeout(final long micros) {
                suspicionTimeout = micros;
                return this;
            }

            /** Sets {@link Settings#deathTimeout}. */
            public Builder deathTimeout(final long micros) {
                deathTimeout = micros;
                return this;
            }

            /** Sets {@link Settings#joinInterval}. */
            public Builder joinInterval(final long micros) {
                joinInterval = micros;
                return this;
            }

            /** Sets {@link Settings#fullHeartbeatEvery}. */
            public Builder fullHeartbeatEvery(final int heartbeats) {
                fullHeartbeatEvery = heartbeats;
                return this;
            }

            /** Returns the settings. */
            public Settings build() {
                return new Settings(
                        heartbeatInterval, suspicionTimeout, deathTimeout, joinInterval, fullHeartbeatEvery);
            }
        }
    }

    /** Creates the membership of a node that initially knows only itself and the addresses of its seeds. */
    public Membership(final Member self, final List<String> seeds, final Settings settings) {
        this.self = self;
        this.settings = settings;
        this.members = new MemberTable(self);
        this.failureDetector = new FailureDetector(settings.suspicionTimeout());
        this.joinSchedule = new JoinSchedule(self.address(), seeds, settings.joinInterval(), members);
    }

    /** Returns this node's own entry, as it is announced to other nodes. */
    public Member self() {
        return self;
    }

    /** Returns all known members ordered by id, including this node and dead members. */
    public List<Member> all() {
        return members.all();
    }

    /** Returns a number that changes whenever any member's entry does. */
    public long version() {
        return members.version();
    }

    /** Returns the members considered alive, except this node. */
    public List<Member> liveMembers() {
        return members.liveOthers();
    }

    /** Returns a member by its id. */
    public Optional<Member> get(final String id) {
        return members.find(id);
    }

    /** Returns the members that watch a live member. */
    public List<Member> watchers(final String id) {
        return members.watchersOf(id);
    }

    /** Returns whether this node suspects itself, since it misses the heartbeats of most members that it watches. */
    public boolean suspectsSelf() {
        return failureDetector.suspectsSelf();
    }

    /** Sets whether this node accepts requests, and announces that if it has changed. */
    public void setReady(final boolean isReady) {
        if (self.ready() != isReady) {
            updateSelf(self.asUp(self.sequence() + 1, isReady));
        }
    }

    /**
     * Replaces the addresses of the seeds. If they have changed, the next tick sends join requests to all of them.
     */
    public void setSeeds(final List<String> seeds) {
        joinSchedule.setSeeds(seeds);
    }

    /** Sends join requests to all seeds at the next tick, whether or not they are known as members. */
    public void restartJoin() {
        joinSchedule.restart();
    }

    /**
     * Sets whether this node depends on seeds that aren't up; while it does, it sends join requests at the short
     * interval.
     */
    public void setWaitingForSeeds(final boolean isWaiting) {
        joinSchedule.setUseShortInterval(isWaiting);
    }

    /** Starts a new incarnation of this node, as a rejoin requires. */
    public void startIncarnation(final long incarnation) {
        updateSelf(self.withIncarnation(incarnation));
    }

    /** Announces that this node leaves. From then on it refutes no updates on itself. */
    public void leave() {
        updateSelf(self.after(MemberState.Trigger.LEAVE));
    }

    /**
     * Processes a message of the membership protocol; ignores any other message.
     *
     * @param physicalTime the physical time of this node in fixed-point units, sent to a node that joins
     * @param stampFloor the newest stamp of this node, sent to a node that joins
     */
    public void onMessage(final Message message, final long now, final long physicalTime, final Stamp stampFloor) {
        switch (message) {
            case MembershipMessage.MembershipJoinRequest request -> {
                onFullHeartbeat(request.sender(), now);
                send(
                        request.sender().address(),
                        new MembershipMessage.MemberList(all(), request.sentAt(), physicalTime, stampFloor));
            }
            case MembershipMessage.MemberList list -> {
                joinSchedule.onMemberList();
                final boolean forward = settings.fullHeartbeatEvery() == 1;
                list.members().forEach(member -> applyUpdate(member, forward, now));
            }
            case MembershipMessage.Heartbeat heartbeat -> onFullHeartbeat(heartbeat.sender(), now);
            case MembershipMessage.LivenessHeartbeat heartbeat ->
                get(heartbeat.id())
                        .filter(member -> member.incarnation() == heartbeat.incarnation())
                        .ifPresent(member -> failureDetector.onHeartbeat(member.id(), now));
            default -> {}
        }
    }

    /** Applies an update on a member, and forwards it, if it supersedes the known entry. */
    public void applyUpdate(final Member update, final long now) {
        applyUpdate(update, true, now);
    }

    /**
     * Applies an update on a member as {@link #applyUpdate} does, but doesn't forward it. For updates from an
     * exchange in which all nodes synchronize their members, so that forwarding is not needed.
     */
    public void applyUpdateWithoutForwarding(final Member update, final long now) {
        applyUpdate(update, false, now);
    }

    /**
     * Sends join requests and heartbeats that are due, and checks for failed members. Called about twenty times a
     * second.
     */
    public void tick(final long now) {
        joinSchedule
                .joinTargets(now)
                .forEach(address -> send(address, new MembershipMessage.MembershipJoinRequest(self, now)));
        if (now - lastHeartbeat >= settings.heartbeatInterval()) {
            lastHeartbeat = now;
            final Message heartbeat = nextHeartbeat();
            watchers(self.id()).forEach(watcher -> send(watcher.address(), heartbeat));
        }
        detectFailures(now);
    }

    /** Returns the pending updates to forward, and removes them. */
    public List<Member> drainUpdates() {
        final List<Member> drained = List.copyOf(updates);
        updates.clear();
        return drained;
    }

    /** Returns the pending messages and log events, and removes them. */
    public List<Effect> drain() {
        final List<Effect> drained = List.copyOf(effects);
        effects.clear();
        return drained;
    }

    private void send(final String address, final Message message) {
        effects.add(new Effect.Send(address, message));
    }

    private void onFullHeartbeat(final Member sender, final long now) {
        failureDetector.onHeartbeat(sender.id(), now);
        applyUpdate(sender, now);
    }

    private Message nextHeartbeat() {
        return heartbeatCount++ % settings.fullHeartbeatEvery() == 0
                ? new MembershipMessage.Heartbeat(self)
                : new MembershipMessage.LivenessHeartbeat(self.id(), self.incarnation());
    }

    private void applyUpdate(final Member update, final boolean forward, final long now) {
        if (update.id().equals(self.id())) {
            applyUpdateOfSelf(update);
            return;
        }
        final Optional<Member> known = members.find(update.id());
        if (known.isPresent() && !update.supersedes(known.get())) {
            return;
        }
        members.putOther(update, now);
        if (forward) {
            updates.add(update);
        }
        if (known.filter(member -> member.state().equals(update.state())).isEmpty()) {
            logState(update);
        }
    }

    /**
     * Refutes an update on this node unless it is outdated: by a higher incarnation if the update's incarnation is
     * higher than this node's, and by a higher sequence if it is the same.
     */
    private void applyUpdateOfSelf(final Member update) {
        if (update.incarnation() > self.incarnation()) {
            startIncarnation(update.incarnation() + 1);
        } else if (update.incarnation() == self.incarnation()
                && update.sequence() >= self.sequence()
                && !update.equals(self)
                && !self.is(MemberState.LEFT)) {
            updateSelf(self.asUp(update.sequence() + 1, self.ready()));
        }
    }

    private void detectFailures(final long now) {
        final List<Member> watched = members.watchedBySelf();
        final List<Member> silent = failureDetector.silentMembers(watched, now);
        failureDetector.updateSelfSuspicion(silent.size(), watched.size()).ifPresent(effects::add);
        if (!suspectsSelf()) {
            silent.stream()
                    .filter(member -> member.is(MemberState.UP))
                    .forEach(member -> applyUpdate(member.after(MemberState.Trigger.HEARTBEATS_MISSED), now));
        }
        members.suspects().stream()
                .filter(member -> members.sinceUpdate(member, now) > settings.deathTimeout())
                .forEach(member -> applyUpdate(member.after(MemberState.Trigger.DEATH_TIMEOUT), now));
    }

    private void updateSelf(final Member updated) {
        self = updated;
        members.putSelf(updated);
        updates.add(updated);
    }

    private void logState(final Member member) {
        final Event event =
                MemberState.ofWireName(member.state()).map(Membership::eventOf).orElse(Event.MEMBER_LEFT);
        effects.add(new Effect.Log(event, member.id() + " incarnation " + member.incarnation()));
    }

    private static Event eventOf(final MemberState state) {
        return switch (state) {
            case UP -> Event.MEMBER_UP;
            case SUSPECT -> Event.MEMBER_SUSPECT;
            case DEAD -> Event.MEMBER_DEAD;
            case LEFT -> Event.MEMBER_LEFT;
        };
    }
}
