package silverlatch.gossip;

import java.util.List;
import java.util.Optional;
import java.util.function.ToLongFunction;
import silverlatch.membership.Membership;
import silverlatch.wire.GossipMessage;

/**
 * Synchronizes the worker reports and the membership of two nodes, in a fleet whose workers announce themselves to
 * controllers.
 *
 * <p>An exchange takes up to four steps, and each node replies only if the two still differ:
 *
 * <ol>
 * <li>The pulled node compares the digests in the pull with its own. If they differ, it replies with the digests of
 * all ranges of ids.
 * <li>The puller sends the versions of what it holds in the ranges that differ.
 * <li>The pulled node sends what is newer there, and lists the ids of which the puller holds newer versions.
 * <li>The puller sends those.
 * </ol>
 *
 * <p>For the puller the exchange is complete once it found no difference or received the missing reports; only a
 * complete exchange counts for freshness. At most one exchange is pending: a new one replaces it. Only the node's
 * event loop calls this class.
 */
final class AntiEntropy {
    /** The age in a message that means "never confirmed". */
    private static final long UNKNOWN_AGE = -1;

    /** The pull time in a message whose reports answer no pull. */
    private static final long NO_PULL = 0;
    /** The range digests in a message if the totals are equal. */
    private static final long[] EQUAL_RANGES = {};

    private final WorkerReports reports;
    private final PeerSelector peerSelector;
    private final MemberVersions memberVersions;
    private final Membership membership;
    private Optional<PendingPull> pendingPull = Optional.empty();

    AntiEntropy(
            final WorkerReports reports,
            final PeerSelector peerSelector,
            final MemberVersions memberVersions,
            final Membership membership) {
        this.reports = reports;
        this.peerSelector = peerSelector;
        this.memberVersions = memberVersions;
        this.membership = membership;
    }

    /**
     * Returns the reply to a pull.
     *
     * @param reportsAge how long ago the reports here were last known to be the newest, in microseconds; {@link
     *                   Long#MAX_VALUE} if never
     */
    GossipMessage.PullContent.DigestContent digestContent(
            final GossipMessage.GossipPull pull, final String sender, final long reportsAge, final long now) {
        final boolean reportsDiffer = pull.reportsDigest() != reports.digests().total();
        final boolean membersDiffer =
                pull.membershipDigest() != memberVersions.digests().total();
        final GossipMessage.RangeDigests ranges = new GossipMessage.RangeDigests(
                reportsDiffer ? reports.digests().ranges() : EQUAL_RANGES,
                membersDiffer ? memberVersions.digests().ranges() : EQUAL_RANGES);
        return new GossipMessage.PullContent.DigestContent(
                reportsAge == Long.MAX_VALUE ? UNKNOWN_AGE : reportsAge,
                reportsDiffer || membersDiffer ? List.of(ranges) : List.of(),
                peerSelector.isController() && peerSelector.isOtherController(sender)
                        ? List.of(reports.heartbeatAges(now))
                        : List.of());
    }

    /**
     * Processes the reply to a pull. Returns the versions held here in the ranges that differ; empty if none differ.
     *
     * @param pullSentAt when this node sent the pull
     */
    Optional<GossipMessage.ReportVersions> onDigestContent(
            final GossipMessage.PullContent.DigestContent content, final long pullSentAt, final String sender) {
        if (peerSelector.isController()) {
            content.heartbeats().forEach(ages -> reports.onHeartbeatAges(ages, sender, pullSentAt));
        }
        final PendingPull pull = new PendingPull(sender, pullSentAt, content.age());
        final long reportRanges =
                differingRanges(content, ranges -> reports.digests().differingRanges(ranges.reports()));
        final long memberRanges =
                differingRanges(content, ranges -> memberVersions.digests().differingRanges(ranges.members()));
        if (reportRanges == 0 && memberRanges == 0) {
            complete(pull);
            return Optional.empty();
        }
        pendingPull = Optional.of(pull);
        return Optional.of(new GossipMessage.ReportVersions(
                pullSentAt,
                reportRanges,
                memberRanges,
                reports.versions(reportRanges),
                memberVersions.versions(memberRanges)));
    }

    /**
     * Returns the reports and members that the puller lacks in the ranges that differ, and the ids of which the
     * puller holds newer versions.
     */
    GossipMessage.MissingReports missingReports(final GossipMessage.ReportVersions versions, final long now) {
        return new GossipMessage.MissingReports(
                versions.pullSentAt(),
                reports.reportsNewerThan(versions.reportRanges(), versions.workers(), now),
                memberVersions.membersNewerThan(versions.memberRanges(), versions.members()),
                reports.outdatedWorkers(versions.workers()),
                memberVersions.outdatedMembers(versions.members()));
    }

    /**
     * Merges the reports and members that this node lacked. Returns those that the sender requested; empty if it
     * requested none.
     */
    Optional<GossipMessage.MissingReports> onMissingReports(
            final GossipMessage.MissingReports missing, final String sender, final long now) {
        missing.members().forEach(member -> membership.applyUpdateWithoutForwarding(member, now));
        missing.reports().forEach(report -> reports.merge(report, false, now));
        reports.forgetExpired(missing.requestedWorkers(), now);
        pendingPull
                .filter(pull ->
                        pull.sentAt() == missing.pullSentAt() && pull.address().equals(sender))
                .ifPresent(this::complete);
        return missing.requestedWorkers().isEmpty()
                        && missing.requestedMembers().isEmpty()
                ? Optional.empty()
                : Optional.of(requestedReports(missing, now));
    }

    /** Discards the pending exchange. */
    void reset() {
        pendingPull = Optional.empty();
    }

    private GossipMessage.MissingReports requestedReports(final GossipMessage.MissingReports missing, final long now) {
        return new GossipMessage.MissingReports(
                NO_PULL,
                reports.reportsOf(missing.requestedWorkers(), now),
                missing.requestedMembers().stream()
                        .flatMap(id -> membership.get(id).stream())
                        .toList(),
                List.of(),
                List.of());
    }

    private void complete(final PendingPull pull) {
        pendingPull = Optional.empty();
        if (peerSelector.isOtherController(pull.address())) {
            reports.markSynced(pull.address(), pull.sentAt());
        }
        if (pull.age() >= 0) {
            reports.confirm(pull.sentAt() - pull.age());
        }
    }

    private static long differingRanges(
            final GossipMessage.PullContent.DigestContent content,
            final ToLongFunction<GossipMessage.RangeDigests> differing) {
        return content.ranges().stream().mapToLong(differing).findFirst().orElse(0);
    }

    /**
     * A pull whose missing reports haven't arrived yet: the address of the pulled node, when the pull was sent, and
     * the age of the reports at the pulled node.
     */
    private record PendingPull(String address, long sentAt, long age) {}
}
