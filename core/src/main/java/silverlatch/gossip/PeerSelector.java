package silverlatch.gossip;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import silverlatch.membership.Member;
import silverlatch.membership.Membership;
import silverlatch.replication.View;
import silverlatch.wire.Message;

/** Whom to ask and whom to tell, and the crew in short. */
final class PeerSelector {
    private static final long SECOND = 1_000_000L;
    private final Membership membership;
    private final RandomGenerator random;
    private VersionDigests memberDigests = new VersionDigests();
    private List<Member> otherControllers = List.of();
    private long indexedVersion = -1;
    private long liveGatewayCount;
    private int nextInTurn;

    PeerSelector(final Membership membership, final RandomGenerator random) {
        this.membership = membership;
        this.random = random;
    }

    /** Whether this daemon is a controller. */
    boolean isController() {
        return !membership.self().isGateway();
    }

    /** The other controllers, also those thought dead; not those that left. */
    List<Member> otherControllers() {
        refresh();
        return otherControllers;
    }

    /** Whether another controller takes frames at this address. */
    boolean isController(final String address) {
        return otherControllers().stream().anyMatch(m -> m.address().equals(address));
    }

    /** Digests over the crew. */
    VersionDigests memberDigests() {
        refresh();
        return memberDigests;
    }

    /** So many of these, drawn. */
    <T> List<T> sample(final List<T> candidates, final int count) {
        final List<T> remaining = new ArrayList<>(candidates);
        final List<T> chosen = new ArrayList<>();
        while (chosen.size() < count && !remaining.isEmpty()) {
            chosen.add(remaining.remove(random.nextInt(remaining.size())));
        }
        return chosen;
    }

    /** So many of these, each in its turn. */
    List<Member> nextInTurn(final List<Member> candidates, final int count) {
        final List<Member> chosen = new ArrayList<>();
        for (int i = 0; i < Math.min(count, candidates.size()); i++) {
            chosen.add(candidates.get(nextInTurn++ % candidates.size()));
        }
        return chosen;
    }

    /** How often to ask a controller: less often where gateways are many. */
    long controllerPullInterval(final Gossip.Settings settings) {
        refresh();
        return settings.reporting() instanceof WorkerReporting.ToControllers reporting && !isController()
                ? Math.max(
                        settings.controllerPullInterval(),
                        Math.min(
                                SECOND,
                                liveGatewayCount
                                        * SECOND
                                        / Math.max(1, (long) otherControllers.size() * reporting.maxPullsPerSecond())))
                : settings.controllerPullInterval();
    }

    /** Some to pass news on to, more in a large fleet: one from anywhere, the others from this region. */
    List<Member> pushTargets() {
        final List<Member> live = membership.liveMembers();
        final int count = live.size() < 32 ? 3 : live.size() < 128 ? 5 : 7;
        final List<Member> targets = sample(preferOwnRegion(live), count - 1);
        targets.addAll(sample(live.stream().filter(m -> !targets.contains(m)).toList(), count - targets.size()));
        return targets;
    }

    /** Live controllers to ask: those of the chain, or all. */
    List<Member> liveControllers(final View view, final boolean includeOutsideChain) {
        final List<String> chain = view.chain().stream().map(b -> b.address()).toList();
        return membership.liveMembers().stream()
                .filter(m -> !m.isGateway())
                .filter(m -> includeOutsideChain || chain.isEmpty() || chain.contains(m.address()))
                .toList();
    }

    /** Those of this region, or all where there are none. */
    List<Member> preferOwnRegion(final List<Member> candidates) {
        final List<Member> near = candidates.stream()
                .filter(m -> m.region().equals(membership.self().region()))
                .toList();
        return near.isEmpty() ? candidates : near;
    }

    /** What is known of the crew in these ranges. */
    List<Message.ReportVersion> memberVersions(final long rangeBits) {
        return membership.all().stream()
                .filter(m -> VersionDigests.isInRanges(rangeBits, m.id()))
                .map(PeerSelector::versionOf)
                .toList();
    }

    /** Who is known better here than by these marks, which are all that another holds in these ranges. */
    List<Member> membersNewerThan(final long rangeBits, final List<Message.ReportVersion> versions) {
        final Map<String, Message.ReportVersion> versionById = new HashMap<>();
        versions.forEach(k -> versionById.put(k.id(), k));
        return membership.all().stream()
                .filter(m -> VersionDigests.isInRanges(rangeBits, m.id()))
                .filter(m -> Optional.ofNullable(versionById.get(m.id()))
                        .map(k -> isNewer(versionOf(m), k))
                        .orElse(true))
                .toList();
    }

    /** Who is known worse here than by these marks. */
    List<String> outdatedMembers(final List<Message.ReportVersion> versions) {
        return versions.stream()
                .filter(k -> membership
                        .get(k.id())
                        .map(m -> isNewer(k, versionOf(m)))
                        .orElse(true))
                .map(Message.ReportVersion::id)
                .toList();
    }

    private static boolean isNewer(final Message.ReportVersion first, final Message.ReportVersion second) {
        return first.incarnation() != second.incarnation()
                ? first.incarnation() > second.incarnation()
                : first.sequence() > second.sequence();
    }

    private static Message.ReportVersion versionOf(final Member member) {
        return new Message.ReportVersion(member.id(), member.incarnation(), member.precedence());
    }

    private void refresh() {
        if (indexedVersion != membership.version()) {
            indexedVersion = membership.version();
            final List<Member> all = membership.all();
            otherControllers = all.stream()
                    .filter(m -> !m.isGateway()
                            && !m.state().equals("left")
                            && !m.id().equals(membership.self().id()))
                    .toList();
            liveGatewayCount =
                    all.stream().filter(m -> m.isGateway() && m.isLive()).count();
            memberDigests = new VersionDigests();
            all.forEach(m -> memberDigests.add(versionOf(m)));
        }
    }
}
