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
 * Who is in the fleet and who is alive, in the manner of SWIM: a node joins through seeds, sends heartbeats to a few
 * watchers, and its watchers suspect it when they miss them. A suspicion spreads by gossip; the suspected member refutes it
 * by a higher sequence, or is declared dead after the death time-out.
 *
 * <p>For each member the newest update counts ({@link Member#supersedes}); a node refutes wrong updates on itself. The class
 * does no input or output: updates to forward and what is to be sent and logged are collected for {@link #drainUpdates} and
 * {@link #drain}. The node's event loop alone calls it. All times are microseconds of the node's monotonic clock.
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
     * @param heartbeatInterval  between two heartbeats
     * @param suspicionTimeout   without a heartbeat after which a member is suspected
     * @param deathTimeout       for which a suspicion stands before the member counts as dead
     * @param joinInterval       between two attempts to greet seeds that aren't known as members
     * @param fullHeartbeatEvery one in so many heartbeats carries the whole member, the others its incarnation alone; where
     *                           that is more than one, the members of a member list aren't forwarded either
     */
    public record Settings(
            long heartbeatInterval,
            long suspicionTimeout,
            long deathTimeout,
            long joinInterval,
            int fullHeartbeatEvery) {
        /** The values that hold when the settings name none. */
        public static final Settings DEFAULTS = new Builder()
                .heartbeatInterval(250_000L)
                .suspicionTimeout(1_500_000L)
                .deathTimeout(2_000_000L)
                .joinInterval(1_000_000L)
                .fullHeartbeatEvery(1)
                .build();

        /** Values for a large fleet: fewer heartbeats, of which only one in four carries the whole member. */
        public static final Settings LARGE_FLEET = DEFAULTS.toBuilder()
                .heartbeatInterval(500_000L)
                .suspicionTimeout(2_000_000L)
                .fullHeartbeatEvery(4)
                .build();

        /** Returns a builder that starts from these values. */
        public Builder toBuilder() {
            return new Builder()
                    .heartbeatInterval(heartbeatInterval)
                    .suspicionTimeout(suspicionTimeout)
                    .deathTimeout(deathTimeout)
                    .joinInterval(joinInterval)
                    .fullHeartbeatEvery(fullHeartbeatEvery);
        }

        /** Builds settings; all times in microseconds. */
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

    /** Makes the membership of a node that knows itself and the addresses of its seeds. */
    public Membership(final Member self, final List<String> seeds, final Settings settings) {
        this.self = self;
        this.settings = settings;
        this.members = new MemberTable(self);
        this.failureDetector = new FailureDetector(settings.suspicionTimeout());
        this.joinSchedule = new JoinSchedule(self.address(), seeds, settings.joinInterval(), members);
    }

    /** Returns this node as the others are to know it. */
    public Member self() {
        return self;
    }

    /** Returns all members known, in the order of their names, this node and dead ones among them. */
    public List<Member> all() {
        return members.all();
    }

    /** Returns a number that changes whenever what is known of any member does. */
    public long version() {
        return members.version();
    }

    /** Returns the members thought to be alive, without this node. */
    public List<Member> liveMembers() {
        return members.liveOthers();
    }

    /** Returns a member by its name. */
    public Optional<Member> get(final String id) {
        return members.find(id);
    }

    /** Returns the members that watch a live member. */
    public List<Member> watchers(final String id) {
        return members.watchersOf(id);
    }

    /** Returns whether this node suspects itself, since it misses most of the members that it watches. */
    public boolean suspectsSelf() {
        return failureDetector.suspectsSelf();
    }

    /** Sets whether this node takes requests, and announces it if that has changed. */
    public void setReady(final boolean isReady) {
        if (self.ready() != isReady) {
            updateSelf(self.asUp(self.sequence() + 1, isReady));
        }
    }

    /** Sets the addresses of the seeds; if they have changed they are greeted at the next tick. */
    public void setSeeds(final List<String> seeds) {
        joinSchedule.setSeeds(seeds);
    }

    /** Greets all seeds at the next tick, known or not. */
    public void restartJoin() {
        joinSchedule.restart();
    }

    /** Sets whether this node waits for seeds that aren't up, so that it greets them more often. */
    public void setWaitingForSeeds(final boolean isWaiting) {
        joinSchedule.setUseShortInterval(isWaiting);
    }

    /** Starts a new incarnation of this node, as a rejoin does. */
    public void startIncarnation(final long incarnation) {
        updateSelf(self.withIncarnation(incarnation));
    }

    /** Announces that this node leaves; from then on it refutes nothing. */
    public void leave() {
        updateSelf(self.after(MemberState.Trigger.LEAVE));
    }

    /**
     * Takes a message of the membership protocol; any other is ignored.
     *
     * @param physicalTime the physical time here, in fixed point units, for a node that joins
     * @param stampFloor   the newest stamp here, for a node that joins
     */
    public void onMessage(final Message message, final long now, final long physicalTime, final Stamp stampFloor) {
        switch (message) {
            case MembershipMessage.JoinGreeting greeting -> {
                onFullHeartbeat(greeting.sender(), now);
                send(
                        greeting.sender().address(),
                        new MembershipMessage.MemberList(all(), greeting.sentAt(), physicalTime, stampFloor));
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

    /** Takes an update on a member, and forwards it if it supersedes what is known. */
    public void applyUpdate(final Member update, final long now) {
        applyUpdate(update, true, now);
    }

    /** Takes an update from a node that exchanges all it knows with the others, so that it needn't be forwarded. */
    public void applyUpdateWithoutForwarding(final Member update, final long now) {
        applyUpdate(update, false, now);
    }

    /** Greets seeds, sends heartbeats and looks for failed members, each where it is due; called some twenty times a second. */
    public void tick(final long now) {
        joinSchedule.joinTargets(now).forEach(address -> send(address, new MembershipMessage.JoinGreeting(self, now)));
        if (now - lastHeartbeat >= settings.heartbeatInterval()) {
            lastHeartbeat = now;
            final Message heartbeat = nextHeartbeat();
            watchers(self.id()).forEach(watcher -> send(watcher.address(), heartbeat));
        }
        detectFailures(now);
    }

    /** Returns the updates to forward; each is handed out once. */
    public List<Member> drainUpdates() {
        final List<Member> drained = List.copyOf(updates);
        updates.clear();
        return drained;
    }

    /** Returns what is to be sent and logged; each effect is handed out once. */
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

    /** Refutes what others say of this node, unless it is outdated: by a higher sequence, or by a higher incarnation. */
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
        effects.add(new Effect.Log(event, member.id() + " life " + member.incarnation()));
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
