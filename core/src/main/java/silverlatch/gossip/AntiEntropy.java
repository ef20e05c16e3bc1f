package silverlatch.gossip;

import java.util.List;
import java.util.Optional;
import java.util.function.ToLongFunction;
import silverlatch.membership.Membership;
import silverlatch.wire.GossipMessage;

/**
 * Brings the reports on workers and the members of two nodes to the same state, where workers announce to controllers.
 *
 * <p>One exchange takes up to four steps, each answered only if something is left to do: the pulled node compares the
 * digests of a pull with its own and sends those of all ranges; the puller sends the versions of what it holds in the ranges
 * that differ; the pulled node sends what is newer there and names what it lacks; the puller sends that. The exchange is
 * complete for the puller once nothing differed or the missing reports came; only then it counts for freshness. One exchange
 * at a time is open: a later one replaces it. The node's event loop alone calls this class.
 */
final class AntiEntropy {
    /** The age in a message that stands for "never confirmed", and the pull time of reports that answer no pull. */
    private static final long UNKNOWN_AGE = -1;

    private static final long NO_PULL = 0;
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
     * Returns the answer to a pull.
     *
     * @param reportsAge how long ago the reports here were surely the newest, in microseconds, or the largest long
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

    /** Takes the answer to a pull; returns the versions held in the ranges that differ, or nothing where all are equal. */
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

    /** Returns what the puller lacks in the ranges that differ, and the names of what it has newer. */
    GossipMessage.MissingReports missingReports(final GossipMessage.ReportVersions versions, final long now) {
        return new GossipMessage.MissingReports(
                versions.askedAt(),
                reports.reportsNewerThan(versions.reportRanges(), versions.workers(), now),
                memberVersions.membersNewerThan(versions.memberRanges(), versions.members()),
                reports.outdatedWorkers(versions.workers()),
                memberVersions.outdatedMembers(versions.members()));
    }

    /** Takes what was missing here; returns what the sender named as missing there, or nothing where it named nothing. */
    Optional<GossipMessage.MissingReports> onMissingReports(
            final GossipMessage.MissingReports missing, final String sender, final long now) {
        missing.members().forEach(member -> membership.applyUpdateWithoutForwarding(member, now));
        missing.reports().forEach(report -> reports.merge(report, false, now));
        reports.forgetExpired(missing.newerWorkers(), now);
        pendingPull
                .filter(pull ->
                        pull.sentAt() == missing.askedAt() && pull.address().equals(sender))
                .ifPresent(this::complete);
        return missing.newerWorkers().isEmpty() && missing.newerDaemons().isEmpty()
                ? Optional.empty()
                : Optional.of(requestedReports(missing, now));
    }

    /** Forgets the open exchange. */
    void reset() {
        pendingPull = Optional.empty();
    }

    private GossipMessage.MissingReports requestedReports(final GossipMessage.MissingReports missing, final long now) {
        return new GossipMessage.MissingReports(
                NO_PULL,
                reports.reportsOf(missing.newerWorkers(), now),
                missing.newerDaemons().stream()
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

    /** An exchange whose missing reports haven't come yet: whom was asked when, and how old its reports were. */
    private record PendingPull(String address, long sentAt, long age) {}
}
