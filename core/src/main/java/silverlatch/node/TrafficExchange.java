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
 * Exchanges traffic reports between gateways and controllers. A gateway reports the traffic that it serves to the
 * owner of the singleton role. A controller collects these reports and, while it owns that role, closes usage
 * windows.
 *
 * <p>A gateway must call {@link #enableReporting}, and a controller {@link #enableUsageClosing}, before the first
 * tick; otherwise nothing is reported, or no window is closed. Belongs to the node's event loop.
 */
public final class TrafficExchange {
    /** The newest closed window if none has been closed. */
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

    /** Enables the reports of a gateway's traffic. */
    public void enableReporting(final TrafficReporter trafficReporter) {
        reporter = Optional.of(trafficReporter);
    }

    /** Enables the closing of usage windows while this node owns the singleton role. */
    public void enableUsageClosing(final UsageSchedule schedule) {
        closer = Optional.of(new UsageCloser(schedule, collector));
    }

    /**
     * Returns the closed usage windows that still have to be reported to the provider. Only one caller, the one that
     * calls the provider, may use it.
     */
    public UsageOutbox outbox() {
        return outbox;
    }

    /** Returns the recent demand at each gateway, as far as this node has received reports of it. */
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

    /** Must be called when the node is about to stop. Reports once more what a gateway has counted. */
    void leave(final long now) {
        reporter.ifPresent(gateway -> owner().flatMap(
                        owner -> gateway.finalReport(hasTenants(), now).map(due -> new Effect.Send(owner, due)))
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
        usage.next(new UsageCloser.Observation(replica.stateMachine(), membership.all(), token, unixMicros, now))
                .ifPresent(command -> submit(command, replica));
        outbox.nextMarkCommand(replica.stateMachine(), token, now).ifPresent(command -> submit(command, replica));
    }

    /**
     * Sends a command to the head of the chain. The reply isn't awaited: whether the command took effect is read from
     * the committed state.
     */
    private void submit(final Command command, final ChainReplica replica) {
        replica.view()
                .head()
                .ifPresent(head -> effects.add(
                        new Effect.Send(head.address(), new ChainClientMessage.WriteRequest(0, self, command))));
    }
}
