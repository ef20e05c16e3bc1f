package silverlatch.wire;

import java.util.ArrayList;
import java.util.List;
import silverlatch.clock.Stamp;
import silverlatch.gossip.ReportVersion;
import silverlatch.gossip.Worker;
import silverlatch.gossip.WorkerReport;
import silverlatch.membership.Member;
import silverlatch.replication.LogEntry;
import silverlatch.replication.Replica;
import silverlatch.replication.View;
import silverlatch.state.Command;
import silverlatch.state.CommandResult;
import silverlatch.state.Entry;
import silverlatch.state.Value;

/** Sample frames for the tests of the wire format: at least one message of each type, with distinct component values. */
final class FrameSamples {
    private static final Replica ONE = new Replica("id-a", "10.0.0.1:1");
    private static final Replica TWO = new Replica("id-b", "10.0.0.2:1");
    private static final View VIEW = new View(7, 99, List.of(ONE, TWO), List.of(TWO, ONE), "id-a");
    private static final Member MEMBER =
            new Member("gateway-1", "gateway", "hall", "attica", "10.0.0.3:1", "10.0.0.3:2", 11, 12, "suspect", true);
    private static final Worker WORKER = new Worker(
            "worker-1",
            "10.0.0.4:1",
            "hall",
            "attica",
            13,
            14,
            15,
            16,
            17,
            List.of(18L, 19L),
            true,
            20,
            "pool",
            21,
            22);
    private static final WorkerReport REPORT = new WorkerReport(WORKER, true, false, 23);
    private static final Value.Tenant TENANT = new Value.Tenant("acme", List.of("attica"), 0.5, "hash", "salt");
    private static final Value.Row ROW = new Value.Row("acme", "chat", 1, 2, 3, 4, 5, 6, 7, 8, 9, true, 10);
    private static final Value.Schedule SCHEDULE =
            new Value.Schedule("night", "0 0 * * *", List.of(new Command.Cell("a", "b", "c", "d")), "hall", true);
    private static final Value.Claim CLAIM = new Value.Claim("ticket", "carrier", "running", 24, 25);
    private static final Value.Route ROUTE = new Value.Route(
            "rule",
            "host",
            "/path/",
            true,
            false,
            true,
            false,
            26,
            27,
            28,
            29,
            30,
            List.of("attica"),
            List.of(new Value.WeightedBackend("pool", 31)));
    private static final Value.BackendPool POOL = new Value.BackendPool("pool", "/health", 32, 33, 34.5, 35, 36, 37);
    private static final Value.RoutingConfiguration CONFIGURATION = new Value.RoutingConfiguration(41, 42, 43, 44, 45);

    private FrameSamples() {}

    /** Returns the frames; they cover every message type, command, result and value. */
    static List<Frame> frames() {
        final List<Message> messages = new ArrayList<>();
        messages.addAll(membershipAndGossip());
        messages.addAll(replication());
        commands().forEach(command -> messages.add(new ChainClientMessage.WriteRequest(51, "10.0.0.3:1", command)));
        results().forEach(result -> messages.add(new ChainClientMessage.WriteReply(52, result)));
        messages.addAll(addedInLaterVersions());
        final List<Frame> frames = new ArrayList<>();
        for (int i = 0; i < messages.size(); i++) {
            frames.add(new Frame(new Stamp(1_000 + i), 99, "daemon", "10.0.0.9:1", 53, messages.get(i)));
        }
        return frames;
    }

    private static List<Message> membershipAndGossip() {
        final ReportVersion version = new ReportVersion("worker-1", 61, 62);
        final GossipMessage.PullContent fullContent = new GossipMessage.PullContent.FullContent(
                List.of(new GossipMessage.ReportAge("worker-1", 63, 64, 65)), List.of(WORKER), List.of(MEMBER));
        final GossipMessage.PullContent digestContent = new GossipMessage.PullContent.DigestContent(
                66,
                List.of(new GossipMessage.RangeDigests(new long[] {67, 68}, new long[] {69})),
                List.of(new GossipMessage.HeartbeatAges(70, new long[] {71})));
        return List.of(
                new MembershipMessage.MembershipJoinRequest(MEMBER, 72),
                new MembershipMessage.MemberList(List.of(MEMBER), 73, 74, new Stamp(75)),
                new MembershipMessage.Heartbeat(MEMBER),
                new MembershipMessage.LivenessHeartbeat("gateway-1", 76),
                new GossipMessage.GossipPush(List.of(MEMBER), List.of(WORKER), List.of(REPORT), 77),
                new GossipMessage.GossipPull(78, 79, 80, List.of(version), 81, 82),
                new GossipMessage.GossipPullReply(83, 84, 85, 86, entries(), List.of(VIEW), fullContent),
                new GossipMessage.GossipPullReply(87, 88, 89, 90, List.of(), List.of(), digestContent),
                new GossipMessage.ReportVersions(
                        91, 92, 93, List.of(version), List.of(new ReportVersion("gateway-1", 94, 95))),
                new GossipMessage.MissingReports(
                        96, List.of(REPORT), List.of(MEMBER), List.of("worker-2"), List.of("gateway-2")),
                new Message.StampRejected(97, 98));
    }

    private static List<Message> replication() {
        final LogEntry logEntry = new LogEntry(101, 102, new Stamp(103), entries());
        return List.of(
                new ReplicationMessage.Discover(ONE, true, List.of(TWO)),
                new ReplicationMessage.Bootstrap(VIEW),
                new ReplicationMessage.BootstrapAgreed(104, ONE),
                new ReplicationMessage.LeaseRequest(105, 106, ONE, true, false),
                new ReplicationMessage.LeaseRequest(107, 108, ONE, false, true),
                new ReplicationMessage.LeaseGrant(109, 110, "id-a", 111),
                new ReplicationMessage.ViewDecided(VIEW),
                new ReplicationMessage.Prepare(112, 113),
                new ReplicationMessage.Promise(114, 115, "id-b", 116, List.of(VIEW)),
                new ReplicationMessage.Accept(117, 118, VIEW),
                new ReplicationMessage.Accepted(119, 120, "id-b"),
                new ReplicationMessage.Preempted(121, 122),
                new ReplicationMessage.Replicate(123, List.of(logEntry)),
                new ReplicationMessage.ReplicateAck(124, "id-a", 125),
                new ReplicationMessage.CommitNotice(126, 127),
                new ReplicationMessage.CatchUpTarget(128, 129),
                new ReplicationMessage.FetchEntries(130, "id-b", 131),
                new ReplicationMessage.CompareDigests(132, ONE, 133, new long[] {134, 135}),
                new ReplicationMessage.RepairRanges(
                        136,
                        137,
                        138,
                        139,
                        List.of(new ReplicationMessage.RangeEntries(140, entries())),
                        List.of(logEntry),
                        new long[] {141}),
                new ReplicationMessage.RepairPieceRequest(142, TWO, 143, 144),
                new ReplicationMessage.JoinRequest(145, TWO, 146),
                new ChainClientMessage.ReadRequest(147, "10.0.0.3:1", "t/"),
                new ChainClientMessage.ReadReply(148, true, 149, entries()));
    }

    private static List<Command> commands() {
        return List.of(
                new Command.PatchTable("c1", List.of(new Command.Cell("a", "b", "c", "d")), 151),
                new Command.PutTable("c2", List.of(ROW), 152),
                new Command.PutTenant("c3", TENANT, 153),
                new Command.RemoveTenant("c4", "acme", 154),
                new Command.SetEvacuation("c5", "hall", true, 155),
                new Command.Claim("c6", "key", "ticket", "carrier", 156),
                new Command.CompleteClaim("c7", "key", "ticket", "carrier", "done", 157),
                new Command.AdvanceEpoch("c8", 158, 159),
                new Command.PutSchedule("c9", SCHEDULE, 160),
                new Command.RemoveSchedule("c10", "night", 161),
                new Command.Scheduled("c11", 162, new Command.SetEvacuation("c12", "hall", false, -2)),
                new Command.PutConfiguration("c13", CONFIGURATION, List.of(ROUTE), List.of(POOL), "the text", 163));
    }

    private static List<CommandResult> results() {
        return List.of(
                new CommandResult.Applied(171),
                new CommandResult.Rejected(409, List.of("a fault"), 172),
                new CommandResult.AlreadyClaimed(CLAIM),
                new CommandResult.Unknown("c1"));
    }

    /** Returns messages, commands and values that were added in later versions, in the order of their addition. */
    private static List<Message> addedInLaterVersions() {
        final Command.PutConfiguration base =
                new Command.PutConfiguration("c14", CONFIGURATION, List.of(ROUTE), List.of(POOL), "a text", 201);
        final Value.TenantAccess tenant =
                new Value.TenantAccess("acme", List.of("digest-1", "digest-2"), 202, List.of("attica"));
        final Value.PublicRoute publicRoute = new Value.PublicRoute("host", "/path/");
        final Value.PoolScaling scaling = new Value.PoolScaling("pool", 203, 204, 205);
        final Value.UsageWindow window = new Value.UsageWindow(206, List.of(new Value.TenantCount("acme", 207)));
        final List<Entry> values = List.of(
                new Entry("key-20", 208, List.of(new Value.AccessControl(true))),
                new Entry("key-21", 209, List.of(publicRoute)),
                new Entry("key-22", 210, List.of(tenant)),
                new Entry("key-23", 211, List.of(scaling)),
                new Entry("key-24", 212, List.of(window)));
        return List.of(
                new ChainClientMessage.WriteRequest(
                        213,
                        "10.0.0.3:1",
                        new Command.PutFullConfiguration(
                                base, true, List.of(tenant), List.of(publicRoute), List.of(scaling))),
                new ChainClientMessage.WriteRequest(
                        214, "10.0.0.3:1", new Command.CloseUsageWindow("c15", 215, window)),
                new ChainClientMessage.ReadReply(216, true, 217, values),
                new TrafficMessage.TrafficReport(
                        "gateway-1",
                        218,
                        219,
                        List.of(new TrafficMessage.WindowCounts(220, true, window.counts())),
                        List.of(new TrafficMessage.PoolDemand("pool", 221.5, 222.5, 223.5))),
                new TrafficMessage.TrafficReportAck(224, List.of(225L)),
                new ChainClientMessage.WriteRequest(226, "10.0.0.3:1", new Command.MarkUsageReported("c16", 227, 228)),
                new ChainClientMessage.ReadReply(
                        229, true, 230, List.of(new Entry("key-25", 231, List.of(new Value.UsageReported(232))))));
    }

    private static List<Entry> entries() {
        final List<Value> values = List.of(
                TENANT,
                ROW,
                new Value.Evacuation("hall", true, new Stamp(181)),
                SCHEDULE,
                CLAIM,
                new Value.Epoch(182),
                ROUTE,
                POOL,
                CONFIGURATION,
                new Value.ConfigurationDocument(41, "the text of 41"),
                new Value.CommandOutcome(183, 422, List.of("a fault")),
                new Value.AcceptedConfiguration(184, 185, 186, "digest"));
        final List<Entry> entries = new ArrayList<>();
        for (int i = 0; i < values.size(); i++) {
            entries.add(new Entry("key-" + i, 190 + i, List.of(values.get(i))));
        }
        entries.add(new Entry("removed", 189, List.of()));
        return entries;
    }
}
