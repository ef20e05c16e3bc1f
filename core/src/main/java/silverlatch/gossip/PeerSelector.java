package silverlatch.gossip;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;
import silverlatch.membership.Member;
import silverlatch.membership.MemberState;
import silverlatch.membership.Membership;
import silverlatch.replication.Replica;
import silverlatch.replication.View;

/** Selects the members to pull from and to push to, and computes how often to pull from controllers. */
final class PeerSelector {
    private static final long MICROS_PER_SECOND = 1_000_000L;
    private static final int SMALL_FLEET = 32;
    private static final int MEDIUM_FLEET = 128;

    private final Membership membership;
    private final RandomGenerator random;
    private List<Member> otherControllers = List.of();
    private long indexedVersion = -1;
    private long liveGatewayCount;
    private int nextIndex;

    PeerSelector(final Membership membership, final RandomGenerator random) {
        this.membership = membership;
        this.random = random;
    }

    /** Returns whether this node is a controller. */
    boolean isController() {
        return !membership.self().isGateway();
    }

    /** Returns the other controllers, including dead ones but not those that left. */
    List<Member> otherControllers() {
        refresh();
        return otherControllers;
    }

    /** Returns whether an address is that of another controller. */
    boolean isOtherController(final String address) {
        return otherControllers().stream().anyMatch(m -> m.address().equals(address));
    }

    /**
     * Returns the addresses of this node, of the controllers that are voters of a view, and of all other live
     * controllers.
     */
    Set<String> controllerAddresses(final View view) {
        final Set<String> addresses = new HashSet<>();
        addresses.add(membership.self().address());
        view.voters().forEach(voter -> addresses.add(voter.address()));
        membership.liveMembers().stream().filter(m -> !m.isGateway()).forEach(m -> addresses.add(m.address()));
        return addresses;
    }

    /** Returns the addresses of the voters of a view. */
    static Set<String> voterAddresses(final View view) {
        final Set<String> addresses = new HashSet<>();
        view.voters().forEach(voter -> addresses.add(voter.address()));
        return addresses;
    }

    /** Returns {@code count} randomly chosen candidates, or all candidates if there are no more. */
    <T> List<T> sample(final List<T> candidates, final int count) {
        final List<T> remaining = new ArrayList<>(candidates);
        final List<T> chosen = new ArrayList<>();
        while (chosen.size() < count && !remaining.isEmpty()) {
            chosen.add(remaining.remove(random.nextInt(remaining.size())));
        }
        return chosen;
    }

    /** Returns up to {@code count} candidates, round robin across all calls. */
    List<Member> roundRobin(final List<Member> candidates, final int count) {
        final List<Member> chosen = new ArrayList<>();
        for (int i = 0; i < Math.min(count, candidates.size()); i++) {
            chosen.add(candidates.get(nextIndex++ % candidates.size()));
        }
        return chosen;
    }

    /**
     * Returns the microseconds between two pulls from controllers; longer if there are many gateways per controller.
     */
    long controllerPullInterval(final Gossip.Settings settings) {
        refresh();
        if (!(settings.reporting() instanceof WorkerReporting.ToControllers reporting) || isController()) {
            return settings.controllerPullInterval();
        }
        final long pullsPerSecond = Math.max(1, (long) otherControllers.size() * reporting.maxPullsPerSecond());
        final long fairInterval = liveGatewayCount * MICROS_PER_SECOND / pullsPerSecond;
        return Math.max(settings.controllerPullInterval(), Math.min(MICROS_PER_SECOND, fairInterval));
    }

    /**
     * Returns the members to push to, more of them in a larger fleet: one from any region, the others from this
     * node's region.
     */
    List<Member> pushTargets() {
        final List<Member> live = membership.liveMembers();
        final int fanout = live.size() < SMALL_FLEET ? 3 : live.size() < MEDIUM_FLEET ? 5 : 7;
        final List<Member> targets = sample(preferOwnRegion(live), fanout - 1);
        final List<Member> others =
                live.stream().filter(m -> !targets.contains(m)).toList();
        targets.addAll(sample(others, fanout - targets.size()));
        return targets;
    }

    /**
     * Returns the live controllers that are in the chain.
     *
     * @param includeOutsideChain whether to return all live controllers; also done if the chain isn't known
     */
    List<Member> liveControllers(final View view, final boolean includeOutsideChain) {
        final List<String> chain = view.chain().stream().map(Replica::address).toList();
        return membership.liveMembers().stream()
                .filter(m -> !m.isGateway())
                .filter(m -> includeOutsideChain || chain.isEmpty() || chain.contains(m.address()))
                .toList();
    }

    /** Returns the candidates in this node's region, or all candidates if none is. */
    List<Member> preferOwnRegion(final List<Member> candidates) {
        final List<Member> sameRegion = candidates.stream()
                .filter(m -> m.region().equals(membership.self().region()))
                .toList();
        return sameRegion.isEmpty() ? candidates : sameRegion;
    }

    private void refresh() {
        if (indexedVersion == membership.version()) {
            return;
        }
        indexedVersion = membership.version();
        final List<Member> all = membership.all();
        otherControllers = all.stream().filter(this::isOtherController).toList();
        liveGatewayCount = all.stream().filter(m -> m.isGateway() && m.isLive()).count();
    }

    private boolean isOtherController(final Member member) {
        return !member.isGateway()
                && !member.is(MemberState.LEFT)
                && !member.id().equals(membership.self().id());
    }
}
