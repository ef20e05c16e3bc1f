package silverlatch.gossip;

import java.util.List;
import java.util.function.BooleanSupplier;
import silverlatch.membership.Member;
import silverlatch.membership.Membership;
import silverlatch.replication.View;

/** When a node pulls, and from whom. Each call that returns members counts as a pull from them. */
final class PullSchedule {
    /**
     * While controllers confirm what a gateway has, it pulls from gateways only once in so many intervals: they hardly ever know
     * more, and each pull wakes up two processes.
     */
    private static final int INTERVALS_WHEN_FRESH = 4;

    /** Between two pulls from controllers by a node whose state was never confirmed: its requests wait for that. */
    private static final long INITIAL_PULL_INTERVAL_MICROS = 200_000L;

    /** So many such pulls are made at most: where no majority is up, it won't be soon. */
    private static final int MAX_INITIAL_PULLS = 25;

    /** Between two pulls from nodes that were greeted, which often answer at the same time. */
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
     * Returns the gateways to pull from now; none where no pull is due.
     *
     * @param isStale whether this node's state or reports are old
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

    /** Returns whether a node that answered a greeting is to be pulled from at once, as the state here was never confirmed. */
    boolean tryPullAfterJoinReply(final long now) {
        if (now - lastInitialPull < JOIN_REPLY_PULL_INTERVAL_MICROS) {
            return false;
        }
        lastInitialPull = now;
        return true;
    }

    /**
     * Returns the controllers to pull from besides the others while the state here was never confirmed: each in its turn, as those of
     * the own one may not have a lease yet.
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
     * Returns the controllers to pull from now; none where no pull is due.
     *
     * @param isStale whether this node's state or reports are old, so that controllers of other regions are asked as well
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
