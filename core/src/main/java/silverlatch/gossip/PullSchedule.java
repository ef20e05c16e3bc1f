package silverlatch.gossip;

import java.util.List;
import java.util.function.BooleanSupplier;
import silverlatch.membership.Member;
import silverlatch.membership.Membership;
import silverlatch.replication.View;

/** Decides when a node pulls and from which members. If a call returns members, they count as pulled. */
final class PullSchedule {
    /**
     * While controllers confirm that a gateway's data is the newest, the gateway pulls from other gateways only once
     * in this many intervals: they rarely hold anything newer, and each pull wakes up two processes.
     */
    private static final int INTERVALS_WHEN_FRESH = 4;

    /**
     * Interval between pulls from controllers while this node's state was never confirmed; requests wait for that
     * confirmation.
     */
    private static final long INITIAL_PULL_INTERVAL_MICROS = 200_000L;

    /**
     * Limit on these initial pulls: if no majority of the controllers was up until then, it is unlikely to be up
     * soon.
     */
    private static final int MAX_INITIAL_PULLS = 25;

    /**
     * Minimum interval between pulls from nodes that answered a join request, since several often answer at the same
     * time.
     */
    private static final long JOIN_REPLY_PULL_INTERVAL_MICROS = 100_000L;

    private final Gossip.Settings settings;
    private final Membership membership;
    private final PeerSelector peerSelector;
    private final boolean workersAnnounceToControllers;
    private long lastGatewayPull;
    private long lastControllerPull;
    private long lastInitialPull;
    private int initialPullCount;

    PullSchedule(final Gossip.Settings settings, final Membership membership, final PeerSelector peerSelector) {
        this.settings = settings;
        this.membership = membership;
        this.peerSelector = peerSelector;
        this.workersAnnounceToControllers = settings.reporting() instanceof WorkerReporting.ToControllers;
    }

    /**
     * Returns the gateways to pull from now; empty if no pull is due.
     *
     * @param isStale whether this node's state or reports are stale
     */
    List<Member> gatewaysToPull(final BooleanSupplier isStale, final long now) {
        final boolean isDue = now - lastGatewayPull >= gatewayPullInterval(isStale);
        if (!isDue || workersAnnounceToControllers && peerSelector.isController()) {
            return List.of();
        }
        lastGatewayPull = now;
        final List<Member> gateways =
                membership.liveMembers().stream().filter(Member::isGateway).toList();
        return peerSelector.sample(gateways, workersAnnounceToControllers ? 1 : 2);
    }

    /**
     * Returns whether to pull at once from a node that answered a join request. If so, the next initial pull from
     * controllers is due one interval from {@code now}. To be called only while this node's state isn't confirmed.
     */
    boolean tryPullAfterJoinReply(final long now) {
        if (now - lastInitialPull < JOIN_REPLY_PULL_INTERVAL_MICROS) {
            return false;
        }
        lastInitialPull = now;
        return true;
    }

    /**
     * Returns the controllers to pull from in addition to the regular pulls, while this node's state was never
     * confirmed. Controllers of all regions are used in turn, since those of this node's region may not hold a lease
     * yet.
     */
    List<Member> controllersForInitialPull(final View view, final long now) {
        if (initialPullCount >= MAX_INITIAL_PULLS || now - lastInitialPull < INITIAL_PULL_INTERVAL_MICROS) {
            return List.of();
        }
        final List<Member> controllers = peerSelector.liveControllers(view, workersAnnounceToControllers);
        if (!controllers.isEmpty()) {
            lastInitialPull = now;
            initialPullCount++;
        }
        return peerSelector.roundRobin(controllers, 1);
    }

    private long gatewayPullInterval(final BooleanSupplier isStale) {
        final boolean isReduced = workersAnnounceToControllers && !isStale.getAsBoolean();
        return settings.gatewayPullInterval() * (isReduced ? INTERVALS_WHEN_FRESH : 1);
    }

    /**
     * Returns the controllers to pull from now; empty if no pull is due.
     *
     * @param isStale whether this node's state or reports are stale, so that controllers of other regions are used as
     *                well
     */
    List<Member> controllersToPull(final View view, final BooleanSupplier isStale, final long now) {
        if (now - lastControllerPull < peerSelector.controllerPullInterval(settings)) {
            return List.of();
        }
        lastControllerPull = now;
        final List<Member> controllers = peerSelector.liveControllers(view, workersAnnounceToControllers);
        if (!workersAnnounceToControllers) {
            return peerSelector.sample(controllers, 2);
        }
        if (peerSelector.isController()) {
            return peerSelector.roundRobin(controllers, 3);
        }
        return peerSelector.sample(isStale.getAsBoolean() ? controllers : peerSelector.preferOwnRegion(controllers), 1);
    }
}
