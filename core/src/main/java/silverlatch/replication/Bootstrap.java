package silverlatch.replication;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import silverlatch.log.LogRecord;
import silverlatch.node.Event;
import silverlatch.wire.ReplicationMessage;

/**
 * Bootstraps a cluster: all seeds of an empty cluster discover each other, the one with the lowest identity proposes the initial view, and
 * the view is decided once every seed has agreed and synced its agreement. {@link ChainReplica} calls it while no view is installed.
 *
 * <p>Legal transitions: discovering; agreed to an initial view (synced to disk, and no other one is agreed to); view installed, either the
 * agreed or any other one. A replica whose disk may have been lost ({@link ReplicaSettings#mayBootstrap} is false) only discovers.
 */
final class Bootstrap {
    private static final long DISCOVERY_EXPIRY_MICROS = 2_000_000L;
    private static final long FLEET_HASH_FACTOR = 0x9E3779B97F4A7C15L;
    private final ReplicaSettings settings;
    private final ReplicaRole role;
    private final Discovery discovery;
    private final EffectQueue effects;
    /** The recently discovered seeds that may take part in a bootstrap, by identity. */
    private final Map<String, DiscoveredPeer> peersById = new TreeMap<>();

    private final Set<String> agreedPeers = new HashSet<>();
    private Optional<View> agreedView = Optional.empty();

    Bootstrap(
            final ReplicaSettings settings,
            final ReplicaRole role,
            final Discovery discovery,
            final EffectQueue effects) {
        this.settings = settings;
        this.role = role;
        this.discovery = discovery;
        this.effects = effects;
    }

    /** Sends discovery messages to the seeds, and proposes the agreed initial view again; called on each tick. */
    void discover(final long now) {
        if (!discovery.beginRound(ReplicaSettings.RETRY_MICROS, now)) {
            return;
        }
        peersById.values().removeIf(peer -> now - peer.receivedAt() > DISCOVERY_EXPIRY_MICROS);
        discovery.sendToSeeds(new ReplicationMessage.Discover(
                settings.self(), agreedView.isEmpty() && settings.mayBootstrap(), discoveredPeers()));
        agreedView.filter(this::isProposer).ifPresent(this::propose);
    }

    private List<Replica> discoveredPeers() {
        return peersById.values().stream().map(peer -> peer.request().sender()).toList();
    }

    /** Returns whether this replica has the lowest identity among the voters of the agreed view, so that it proposes the view. */
    private boolean isProposer(final View agreed) {
        final Replica lowest =
                agreed.voters().stream().min(Comparator.comparing(Replica::id)).orElseThrow();
        return lowest.equals(settings.self());
    }

    private void propose(final View proposed) {
        proposed.voters().forEach(voter -> effects.send(voter.address(), new ReplicationMessage.Bootstrap(proposed)));
    }

    /**
     * Handles the discovery message of another replica: replies with the installed view, or, if there is none, counts the replica as a
     * peer for the bootstrap and proposes the initial view once all seeds are discovered.
     */
    void handleDiscover(final ReplicationMessage.Discover request, final long now) {
        if (role.hasView()) {
            effects.send(request.sender().address(), new ReplicationMessage.ViewDecided(role.view()));
            return;
        }
        if (!request.mayBootstrap() || !mayBootstrapWith(request.sender())) {
            return;
        }
        peersById.put(request.sender().id(), new DiscoveredPeer(request, now));
        final List<Replica> peers = discoveredPeers();
        if (isComplete(peers) && settings.isSelf(peers.get(0).id())) {
            propose(initialView(peers));
        }
    }

    private boolean mayBootstrapWith(final Replica peer) {
        return agreedView.isEmpty()
                && settings.mayBootstrap()
                && settings.seeds().contains(settings.self().address())
                && settings.seeds().contains(peer.address());
    }

    /** Returns whether all seeds were discovered, and each of them reported to have discovered the same ones. */
    private boolean isComplete(final List<Replica> peers) {
        final Set<Replica> known = Set.copyOf(peers);
        final Set<String> addresses = peers.stream().map(Replica::address).collect(Collectors.toSet());
        return peers.size() == settings.seeds().size()
                && addresses.equals(Set.copyOf(settings.seeds()))
                && peersById.values().stream()
                        .allMatch(peer ->
                                Set.copyOf(peer.request().discoveredReplicas()).equals(known));
    }

    private View initialView(final List<Replica> peers) {
        final List<Replica> members = peers.stream()
                .sorted(Comparator.comparingInt(peer -> settings.seeds().indexOf(peer.address())))
                .toList();
        final long fleet = Math.max(1, members.hashCode() * FLEET_HASH_FACTOR & Long.MAX_VALUE);
        return new View(1, fleet, members, members, members.get(0).id());
    }

    /** Handles a proposed initial view: agrees if all its voters were discovered, and replies once the agreement is synced. */
    void handleBootstrap(final ReplicationMessage.Bootstrap request, final String sender, final long now) {
        final ReplicationMessage.BootstrapAgreed agreement =
                new ReplicationMessage.BootstrapAgreed(request.view().fleet(), settings.self());
        if (isAgreedView(request.view())) {
            effects.send(sender, agreement);
        } else if (isAcceptable(request.view())) {
            agreedView = Optional.of(request.view());
            effects.persist(
                    List.of(new LogRecord.InitialViewAgreed(request.view())),
                    now,
                    syncedAt -> effects.send(sender, agreement));
        }
    }

    private boolean isAcceptable(final View proposed) {
        return agreedView.isEmpty()
                && !role.hasView()
                && proposed.isVoter(settings.self().id())
                && proposed.voters().stream().allMatch(voter -> peersById.containsKey(voter.id()));
    }

    /**
     * Records that a seed agreed to the initial view. Once all voters have agreed, sends them the decided view.
     *
     * @return the initial view, if all its voters have agreed
     */
    Optional<View> handleAgreed(final ReplicationMessage.BootstrapAgreed message) {
        final Optional<View> agreed = agreedView.filter(view -> view.fleet() == message.fleet());
        agreed.ifPresent(view -> agreedPeers.add(message.sender().id()));
        final Optional<View> decided =
                agreed.filter(view -> view.voters().stream().allMatch(voter -> agreedPeers.contains(voter.id())));
        decided.ifPresent(this::announce);
        return decided;
    }

    private void announce(final View decided) {
        effects.log(Event.FOUNDED, "fleet " + Long.toHexString(decided.fleet()));
        decided.voters().forEach(voter -> effects.send(voter.address(), new ReplicationMessage.ViewDecided(decided)));
    }

    /** Returns whether this is the initial view that this replica agreed to. */
    boolean isAgreedView(final View view) {
        return agreedView.map(view::equals).orElse(false);
    }

    /** Drops the agreed initial view after a view was installed. */
    void installView() {
        agreedView = Optional.empty();
    }

    /** Restores an agreement while the log is replayed. */
    void replay(final LogRecord.InitialViewAgreed founding) {
        agreedView = Optional.of(founding.view());
    }

    private record DiscoveredPeer(ReplicationMessage.Discover request, long receivedAt) {}
}
