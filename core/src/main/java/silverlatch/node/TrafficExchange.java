package silverlatch.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import silverlatch.gossip.Gossip;
import silverlatch.membership.Membership;
import silverlatch.replication.ChainReplica;
import silverlatch.replication.Replica;
import silverlatch.replication.View;
import silverlatch.state.Command;
import silverlatch.state.UsageState;
import silverlatch.traffic.GatewayDemand;
import silverlatch.traffic.TrafficCollector;
import silverlatch.traffic.TrafficReporter;
import silverlatch.traffic.UsageCloser;
import silverlatch.traffic.UsageOutbox;
import silverlatch.traffic.UsageSchedule;
import silverlatch.wire.ChainClientMessage;
import silverlatch.wire.TrafficMessage;

/**
 * The node's part in what gateways serve: a gateway reports it to the owner of the singleton role, and a controller collects it and, while
 * it owns the role, closes the windows of usage. Neither is done before {@link #enableReporting} or {@link #enableUsageClosing} is called, before the first
 * tick. Owned by the node's event loop.
 */
public final class TrafficExchange {
    private static final long NONE_CLOSED = -1;
    private final String self;
    private final NodeClock clock;
    private final Membership membership;
    private final Gossip gossip;
    private final Supplier<View> view;
    private final Supplier<Optional<ChainReplica>> chainReplica;
    private final TrafficCollector collector = new TrafficCollector();
    private final UsageOutbox outbox = new UsageOutbox();
    private final List<Effect> effects = new ArrayList<>();
    private Optional<TrafficReporter> reporter = Optional.empty();
    private Optional<UsageCloser> closer = Optional.empty();

    TrafficExchange(
            final String self,
            final NodeClock clock,
            final Membership membership,
            final Gossip gossip,
            final Supplier<View> view,
            final Supplier<Optional<ChainReplica>> chainReplica) {
        this.self = self;
        this.clock = clock;
        this.membership = membership;
        this.gossip = gossip;
        this.view = view;
        this.chainReplica = chainReplica;
    }

    /** Has a gateway's traffic reported. */
    public void enableReporting(final TrafficReporter trafficReporter) {
        reporter = Optional.of(trafficReporter);
    }

    /** Has the usage of windows closed while this node owns the role. */
    public void enableUsageClosing(final UsageSchedule schedule) {
        closer = Optional.of(new UsageCloser(schedule, collector));
    }

    /** What is to be reported of the windows that are closed; one caller of the provider uses it. */
    public UsageOutbox outbox() {
        return outbox;
    }

    /** What the clients of each gateway ask, as far as this node has heard it lately. */
    public List<GatewayDemand> demand(final long now) {
        return collector.demand(membership::get, now);
    }

    void onReport(final TrafficMessage.TrafficReport trafficReport, final String sender, final long now) {
        collector.onReport(trafficReport, sender, now);
    }

    void onAck(final TrafficMessage.TrafficReportAck ack) {
        reporter.ifPresent(gateway -> gateway.onAck(ack));
    }

    void tick(final long now) {
        reporter.ifPresent(gateway -> owner().flatMap(
                        owner -> gateway.tick(owner, hasTenants(), now).map(due -> new Effect.Send(owner, due)))
                .ifPresent(effects::add));
        chainReplica.get().ifPresent(replica -> removeClosed(replica, now));
        closer.ifPresent(usage -> chainReplica.get().ifPresent(replica -> closeWindows(usage, replica, now)));
    }

    /** The node is about to stop: what a gateway has counted is reported once more. */
    void leave(final long now) {
        reporter.ifPresent(gateway -> owner().flatMap(
                        owner -> gateway.finish(hasTenants(), now).map(due -> new Effect.Send(owner, due)))
                .ifPresent(effects::add));
    }

    List<Effect> drain() {
        final List<Effect> drained = List.copyOf(effects);
        effects.clear();
        return drained;
    }

    private Optional<String> owner() {
        return view.get().owner().map(Replica::address);
    }

    private boolean hasTenants() {
        return UsageState.hasTenants(gossip.stateMachine());
    }

    private void removeClosed(final ChainReplica replica, final long now) {
        final long newestClosed =
                UsageState.newestClosed(replica.stateMachine()).orElse(NONE_CLOSED);
        effects.addAll(collector.removeClosed(newestClosed, now));
    }

    private void closeWindows(final UsageCloser usage, final ChainReplica replica, final long now) {
        final Optional<Long> token = replica.fencingToken(now);
        final long unixMicros = clock.physicalClock().unixMicros(now);
        usage.next(new UsageCloser.Situation(replica.stateMachine(), membership.all(), token, unixMicros, now))
                .ifPresent(command -> submit(command, replica));
        outbox.mark(replica.stateMachine(), token, now).ifPresent(command -> submit(command, replica));
    }

    /** Sends a command to the head; whether it took effect shows in the committed state. */
    private void submit(final Command command, final ChainReplica replica) {
        replica.view()
                .head()
                .ifPresent(head -> effects.add(
                        new Effect.Send(head.address(), new ChainClientMessage.WriteRequest(0, self, command))));
    }
}
