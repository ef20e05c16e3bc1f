package silverlatch.gossip;

import java.util.List;
import java.util.Optional;
import silverlatch.membership.Membership;
import silverlatch.wire.Message;

/** What is said in a pull where workers announce to controllers: digests first, then marks, then bodies that differ. */
final class AntiEntropy {
    private final WorkerReports reports;
    private final PeerSelector peerSelector;
    private final Membership membership;
    private Optional<PendingPull> pendingPull = Optional.empty();

    AntiEntropy(final WorkerReports reports, final PeerSelector peerSelector, final Membership membership) {
        this.reports = reports;
        this.peerSelector = peerSelector;
        this.membership = membership;
    }

    /** What the asked says of workers and members; the age is that of its own words. */
    Message.PullContent.DigestContent digestContent(
            final Message.GossipPull pull, final String sender, final long age, final long now) {
        final boolean reportsDiffer = pull.reportsDigest() != reports.digests().total();
        final boolean membersDiffer =
                pull.membershipDigest() != peerSelector.memberDigests().total();
        final Message.RangeDigests ranges = new Message.RangeDigests(
                reportsDiffer ? reports.digests().ranges() : new long[0],
                membersDiffer ? peerSelector.memberDigests().ranges() : new long[0]);
        return new Message.PullContent.DigestContent(
                age == Long.MAX_VALUE ? -1 : age,
                reportsDiffer || membersDiffer ? List.of(ranges) : List.of(),
                peerSelector.isController() && peerSelector.isController(sender)
                        ? List.of(reports.heartbeatAges(now))
                        : List.of());
    }

    /** What the asker says to that: nothing where all is equal. */
    Optional<Message.ReportVersions> onDigestContent(
            final Message.PullContent.DigestContent content, final long askedAt, final String sender) {
        if (peerSelector.isController()) {
            content.heartbeats().forEach(x -> reports.heartbeatAges(x, sender, askedAt));
        }
        final PendingPull pull = new PendingPull(sender, askedAt, content.age());
        final long reportRanges = content.ranges().stream()
                .mapToLong(r -> reports.digests().differingRanges(r.reports()))
                .findFirst()
                .orElse(0);
        final long memberRanges = content.ranges().stream()
                .mapToLong(r -> peerSelector.memberDigests().differingRanges(r.members()))
                .findFirst()
                .orElse(0);
        if (reportRanges == 0 && memberRanges == 0) {
            complete(pull);
            return Optional.empty();
        }
        pendingPull = Optional.of(pull);
        return Optional.of(new Message.ReportVersions(
                askedAt,
                reportRanges,
                memberRanges,
                reports.versions(reportRanges),
                peerSelector.memberVersions(memberRanges)));
    }

    /** What the asked holds that the asker lacks, and what it lacks itself. */
    Message.MissingReports missingReports(final Message.ReportVersions versions, final long now) {
        return new Message.MissingReports(
                versions.askedAt(),
                reports.reportsNewerThan(versions.reportRanges(), versions.workers(), now),
                peerSelector.membersNewerThan(versions.memberRanges(), versions.members()),
                reports.outdatedWorkers(versions.workers()),
                peerSelector.outdatedMembers(versions.members()));
    }

    /** Takes bodies, and gives those that the other lacks. */
    Optional<Message.MissingReports> onMissingReports(
            final Message.MissingReports missing, final String sender, final long now) {
        missing.members().forEach(x -> membership.learnWithoutForwarding(x, now));
        missing.reports().forEach(x -> reports.merge(x, false, now));
        pendingPull
                .filter(p -> p.askedAt() == missing.askedAt() && p.address().equals(sender))
                .ifPresent(this::complete);
        return missing.newerWorkers().isEmpty() && missing.newerDaemons().isEmpty()
                ? Optional.empty()
                : Optional.of(new Message.MissingReports(
                        0,
                        reports.reportsOf(missing.newerWorkers(), now),
                        missing.newerDaemons().stream()
                                .flatMap(id -> membership.get(id).stream())
                                .toList(),
                        List.of(),
                        List.of()));
    }

    /** Forgets a pull under way. */
    void reset() {
        pendingPull = Optional.empty();
    }

    private void complete(final PendingPull pull) {
        pendingPull = Optional.empty();
        if (peerSelector.isController(pull.address())) {
            reports.markSynced(pull.address(), pull.askedAt());
        }
        if (pull.age() >= 0) {
            reports.confirmedAt(pull.askedAt() - pull.age());
        }
    }

    private record PendingPull(String address, long askedAt, long age) {}
}
