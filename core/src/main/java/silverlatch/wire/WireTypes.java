package silverlatch.wire;

import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import silverlatch.clock.Stamp;
import silverlatch.gossip.ReportVersion;
import silverlatch.gossip.Worker;
import silverlatch.gossip.WorkerReport;
import silverlatch.log.LogRecord;
import silverlatch.membership.Member;
import silverlatch.replication.LogEntry;
import silverlatch.replication.Replica;
import silverlatch.replication.View;
import silverlatch.state.Command;
import silverlatch.state.CommandResult;
import silverlatch.state.Entry;
import silverlatch.state.Value;

/**
 * The record types that are sent between nodes or stored in data directories, each with its type number and the order in
 * which its components are written.
 *
 * <p>Type numbers and component orders are part of the format: nodes of two versions run side by side during a rolling
 * upgrade, and a data directory outlives the program version that wrote it. The format doesn't depend on names, so types and
 * components may be renamed and types moved. A new type must get a number that was never used before, and a type that is
 * already in use must not get new components.
 */
final class WireTypes {
    /**
     * The types in frames. The first number is the type number; the numbers after the class list the components in the order
     * in which they are written, each as its position in the declaration of the record.
     */
    private static final List<WireType> FRAME_TYPES = List.of(
            type(14, Frame.class, 5, 1, 2, 3, 4, 0),
            type(15, LogEntry.class, 3, 0, 2, 1),
            type(16, Replica.class, 1, 0),
            type(17, Stamp.class, 0),
            type(18, ReplicationMessage.Accept.class, 1, 0, 2),
            type(19, ReplicationMessage.Accepted.class, 1, 0, 2),
            type(20, GossipMessage.GossipPull.class, 0, 4, 3, 1, 2, 5),
            type(21, Message.StampRejected.class, 1, 0),
            type(22, MembershipMessage.Heartbeat.class, 0),
            type(23, GossipMessage.MissingReports.class, 0, 4, 2, 1, 3),
            type(24, ReplicationMessage.Bootstrap.class, 0),
            type(25, ReplicationMessage.BootstrapAgreed.class, 0, 1),
            type(26, ReplicationMessage.CatchUpTarget.class, 1, 0),
            type(27, ReplicationMessage.CommitNotice.class, 1, 0),
            type(28, ReplicationMessage.CompareDigests.class, 3, 1, 2, 0),
            type(29, ReplicationMessage.Discover.class, 1, 2, 0),
            type(30, ReplicationMessage.FetchEntries.class, 1, 2, 0),
            type(31, MembershipMessage.MembershipJoinRequest.class, 0, 1),
            type(32, ReplicationMessage.JoinRequest.class, 1, 2, 0),
            type(33, ReplicationMessage.LeaseGrant.class, 1, 3, 0, 2),
            type(34, ReplicationMessage.LeaseRequest.class, 1, 4, 3, 2, 0),
            type(35, GossipMessage.ReportVersions.class, 0, 2, 4, 1, 3),
            type(36, MembershipMessage.MemberList.class, 3, 0, 1, 2),
            type(37, ReplicationMessage.Preempted.class, 1, 0),
            type(38, ReplicationMessage.Prepare.class, 1, 0),
            type(39, ReplicationMessage.Promise.class, 1, 4, 3, 0, 2),
            type(40, MembershipMessage.LivenessHeartbeat.class, 0, 1),
            type(41, GossipMessage.GossipPush.class, 0, 3, 2, 1),
            type(42, ChainClientMessage.ReadReply.class, 0, 3, 1, 2),
            type(43, ChainClientMessage.ReadRequest.class, 0, 1, 2),
            type(44, ReplicationMessage.RepairPieceRequest.class, 1, 3, 2, 0),
            type(45, ReplicationMessage.RepairRanges.class, 6, 5, 2, 3, 1, 4, 0),
            type(46, ReplicationMessage.Replicate.class, 1, 0),
            type(47, ReplicationMessage.ReplicateAck.class, 1, 2, 0),
            type(48, GossipMessage.GossipPullReply.class, 2, 0, 4, 3, 6, 1, 5),
            type(49, ReplicationMessage.ViewDecided.class, 0),
            type(50, ChainClientMessage.WriteReply.class, 0, 1),
            type(51, ChainClientMessage.WriteRequest.class, 0, 1, 2),
            type(52, LogRecord.Accepted.class, 1, 0, 2),
            type(53, LogRecord.Appended.class, 0),
            type(54, LogRecord.Batch.class, 0),
            type(55, LogRecord.InitialViewAgreed.class, 0),
            type(56, LogRecord.Promised.class, 1, 0),
            type(57, LogRecord.Snapshot.class, 3, 7, 2, 5, 4, 6, 0, 1),
            type(58, LogRecord.SnapshotPart.class, 0),
            type(59, LogRecord.ViewInstalled.class, 1, 0),
            type(60, Value.AcceptedConfiguration.class, 3, 1, 0, 2),
            type(61, Value.BackendPool.class, 3, 1, 2, 6, 0, 4, 5, 7),
            type(62, Value.Claim.class, 3, 1, 2, 0, 4),
            type(63, Value.CommandOutcome.class, 1, 2, 0),
            type(64, Value.ConfigurationDocument.class, 0, 1),
            type(65, Value.Epoch.class, 0),
            type(66, Value.Evacuation.class, 2, 1, 0),
            type(67, Value.Route.class, 8, 9, 7, 12, 1, 6, 13, 0, 3, 2, 10, 5, 4, 11),
            type(68, Value.RoutingConfiguration.class, 2, 1, 4, 0, 3),
            type(69, Value.Row.class, 7, 4, 5, 10, 1, 3, 11, 2, 9, 12, 6, 8, 0),
            type(70, Value.Schedule.class, 2, 1, 4, 0, 3),
            type(71, Value.Tenant.class, 3, 1, 0, 4, 2),
            type(72, Command.AdvanceEpoch.class, 2, 0, 1),
            type(73, Command.Claim.class, 4, 3, 0, 1, 2),
            type(74, Command.CompleteClaim.class, 5, 3, 0, 1, 4, 2),
            type(75, Command.PatchTable.class, 1, 0, 2),
            type(76, Command.PutConfiguration.class, 1, 0, 5, 4, 3, 2),
            type(77, Command.PutSchedule.class, 1, 0, 2),
            type(78, Command.PutTable.class, 0, 2, 1),
            type(79, Command.PutTenant.class, 0, 2, 1),
            type(80, Command.RemoveSchedule.class, 0, 2, 1),
            type(81, Command.RemoveTenant.class, 0, 2, 1),
            type(82, Command.Scheduled.class, 1, 0, 2),
            type(83, Command.SetEvacuation.class, 0, 3, 2, 1),
            type(84, CommandResult.AlreadyClaimed.class, 0),
            type(85, CommandResult.Applied.class, 0),
            type(86, CommandResult.Rejected.class, 0, 1, 2),
            type(87, CommandResult.Unknown.class, 0),
            type(88, View.class, 3, 1, 4, 0, 2),
            type(89, ReportVersion.class, 0, 1, 2),
            type(90, GossipMessage.ReportAge.class, 3, 0, 1, 2),
            type(91, ReplicationMessage.RangeEntries.class, 1, 0),
            type(92, Command.Cell.class, 2, 1, 0, 3),
            type(93, Value.WeightedBackend.class, 0, 1),
            type(94, Entry.class, 0, 2, 1),
            type(95, Worker.class, 1, 13, 0, 9, 10, 4, 12, 7, 3, 14, 6, 5, 8, 11, 2),
            type(96, WorkerReport.class, 3, 2, 1, 0),
            type(97, GossipMessage.RangeDigests.class, 1, 0),
            type(98, GossipMessage.HeartbeatAges.class, 1, 0),
            type(99, Member.class, 4, 5, 0, 6, 9, 3, 1, 8, 7, 2),
            type(100, GossipMessage.PullContent.DigestContent.class, 0, 2, 1),
            type(101, GossipMessage.PullContent.FullContent.class, 0, 2, 1),
            type(102, Value.AccessControl.class, 0),
            type(103, Value.PublicRoute.class, 0, 1),
            type(104, Value.TenantAccess.class, 0, 1, 2, 3),
            type(105, Value.PoolScaling.class, 0, 1, 2, 3),
            type(106, Value.UsageWindow.class, 0, 1),
            type(107, Value.TenantCount.class, 0, 1),
            type(108, Command.PutFullConfiguration.class, 0, 1, 2, 3, 4),
            type(109, Command.CloseUsageWindow.class, 0, 1, 2),
            type(110, TrafficMessage.TrafficReport.class, 0, 1, 2, 3, 4),
            type(111, TrafficMessage.TrafficReportAck.class, 0, 1),
            type(112, TrafficMessage.WindowCounts.class, 0, 1, 2),
            type(113, TrafficMessage.PoolDemand.class, 0, 1, 2, 3),
            type(114, Command.MarkUsageReported.class, 0, 1, 2),
            type(115, Value.UsageReported.class, 0));

    private static final Map<Class<?>, WireType> BY_CLASS =
            FRAME_TYPES.stream().collect(Collectors.toUnmodifiableMap(WireType::type, Function.identity()));

    private WireTypes() {}

    /**
     * Describes how one record type is written.
     *
     * @param number the type number in frames
     * @param type the record type
     * @param order the positions of the components in the declaration, in the order in which they are written
     */
    record WireType(int number, Class<? extends Record> type, List<Integer> order) {
        RecordSerializer<? extends Record> serializer() {
            return new RecordSerializer<>(type, order);
        }
    }

    /** Returns all record types that a frame can contain. */
    static List<WireType> ofFrames() {
        return FRAME_TYPES;
    }

    /** Returns how a record type is written; throws IllegalArgumentException if it has no wire type. */
    static WireType of(final Class<?> type) {
        final WireType wireType = BY_CLASS.get(type);
        if (wireType == null) {
            throw new IllegalArgumentException(type.getName() + " has no wire type");
        }
        return wireType;
    }

    private static WireType type(final int number, final Class<? extends Record> type, final Integer... order) {
        return new WireType(number, type, List.of(order));
    }
}
