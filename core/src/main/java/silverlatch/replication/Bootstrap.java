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
 * Founds the cluster: all seeds of an empty cluster find each other, the one with the lowest identity proposes the first view, and it is
 * decided when every one of them has agreed and synced that. Called by {@link ChainReplica} while no view is installed.
 *
 * <p>Legal transitions: discovering, agreed to a founding (synced; no other one is agreed to), founded, or any other view installed.
 * A replica whose disk may have been lost ({@link ReplicaSettings#mayBootstrap} is false) only discovers.
 */
final class Bootstrap {
    private static final long DISCOVERY_EXPIRY_MICROS = 2_000_000L;
    private static final long FLEET_HASH_FACTOR = 0x9E3779B97F4A7C15L;
    private final ReplicaSettings settings;
    private final ReplicaRole role;
    private final Discovery discovery;
    private final EffectQueue effects;
    /** The empty seeds that were heard of late, by identity. */
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

    /** Looks for the other seeds, and proposes the founding agreed to again; called by each tick. */
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

    private boolean isProposer(final View founding) {
        final Replica lowest = founding.voters().stream()
                .min(Comparator.comparing(Replica::id))
                .orElseThrow();
        return lowest.equals(settings.self());
    }

    private void propose(final View founding) {
        founding.voters().forEach(voter -> effects.send(voter.address(), new ReplicationMessage.Bootstrap(founding)));
    }

    /** Another replica looks for its peers: it is told the view, or counts towards a founding. */
    void handleDiscover(final ReplicationMessage.Discover request, final long now) {
        if (role.hasView()) {
            effects.send(request.sender().address(), new ReplicationMessage.ViewDecided(role.view()));
            return;
        }
        if (!request.empty() || !mayBootstrapWith(request.sender())) {
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

    /** Whether all seeds were heard, and each has heard the same ones. */
    private boolean isComplete(final List<Replica> peers) {
        final Set<Replica> known = Set.copyOf(peers);
        final Set<String> addresses = peers.stream().map(Replica::address).collect(Collectors.toSet());
        return peers.size() == settings.seeds().size()
                && addresses.equals(Set.copyOf(settings.seeds()))
                && peersById.values().stream()
                        .allMatch(peer -> Set.copyOf(peer.request().heard()).equals(known));
    }

    private View initialView(final List<Replica> peers) {
        final List<Replica> members = peers.stream()
                .sorted(Comparator.comparingInt(peer -> settings.seeds().indexOf(peer.address())))
                .toList();
        final long fleet = Math.max(1, members.hashCode() * FLEET_HASH_FACTOR & Long.MAX_VALUE);
        return new View(1, fleet, members, members, members.get(0).id());
    }

    /** Agrees to a founding of replicas that were all heard, once that is synced. */
    void handleBootstrap(final ReplicationMessage.Bootstrap request, final String sender, final long now) {
        final ReplicationMessage.BootstrapAgreed agreement =
                new ReplicationMessage.BootstrapAgreed(request.view().fleet(), settings.self());
        if (isAgreedView(request.view())) {
            effects.send(sender, agreement);
        } else if (isAcceptable(request.view())) {
            agreedView = Optional.of(request.view());
            effects.persist(
                    List.of(new LogRecord.Founding(request.view())), now, syncedAt -> effects.send(sender, agreement));
        }
    }

    private boolean isAcceptable(final View founding) {
        return agreedView.isEmpty()
                && !role.hasView()
                && founding.isVoter(settings.self().id())
                && founding.voters().stream().allMatch(voter -> peersById.containsKey(voter.id()));
    }

    /** A seed agreed to the founding; the first view, where all have. All voters are sent it. */
    Optional<View> handleAgreed(final ReplicationMessage.BootstrapAgreed message) {
        final Optional<View> founding = agreedView.filter(view -> view.fleet() == message.fleet());
        founding.ifPresent(view -> agreedPeers.add(message.sender().id()));
        final Optional<View> founded =
                founding.filter(view -> view.voters().stream().allMatch(voter -> agreedPeers.contains(voter.id())));
        founded.ifPresent(this::announce);
        return founded;
    }

    private void announce(final View founded) {
        effects.log(Event.FOUNDED, "fleet " + Long.toHexString(founded.fleet()));
        founded.voters().forEach(voter -> effects.send(voter.address(), new ReplicationMessage.ViewDecided(founded)));
    }

    /** Whether this is the founding that this replica agreed to. */
    boolean isAgreedView(final View view) {
        return agreedView.map(view::equals).orElse(false);
    }

    /** A view was installed: the founding has ended. */
    void installView() {
        agreedView = Optional.empty();
    }

    /** Takes over an agreement while the log is read. */
    void replay(final LogRecord.Founding founding) {
        agreedView = Optional.of(founding.view());
    }

    private record DiscoveredPeer(ReplicationMessage.Discover request, long receivedAt) {}
}
