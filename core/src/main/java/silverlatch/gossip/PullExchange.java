package silverlatch.gossip;

import java.util.List;
import java.util.Optional;
import silverlatch.membership.Membership;
import silverlatch.wire.GossipMessage;

/** Builds a node's pulls and the replies to them, and merges the workers and members in the replies that it receives. */
final class PullExchange {
    /** The age in a message that means "never confirmed". */
    private static final long UNKNOWN_AGE = -1;

    private final Membership membership;
    private final MemberVersions memberVersions;
    private final StateCopy state;
    private final AnnouncedWorkers announcedWorkers;
    private final Optional<WorkerReports> reports;
    private final Optional<AntiEntropy> antiEntropy;
    private final PullHistory pulls = new PullHistory();

    PullExchange(
            final Membership membership,
            final MemberVersions memberVersions,
            final StateCopy state,
            final AnnouncedWorkers announcedWorkers,
            final Optional<WorkerReports> reports,
            final Optional<AntiEntropy> antiEntropy) {
        this.membership = membership;
        this.memberVersions = memberVersions;
        this.state = state;
        this.announcedWorkers = announcedWorkers;
        this.reports = reports;
        this.antiEntropy = antiEntropy;
    }

    /** Returns a pull that is sent now. */
    GossipMessage.GossipPull request(final long now) {
        pulls.recordPull(now);
        return new GossipMessage.GossipPull(
                now,
                state.revision(),
                state.view().number(),
                reports.isPresent() ? List.of() : announcedWorkers.versions(),
                reports.isPresent() ? memberVersions.digests().total() : memberVersions.membershipDigest(),
                reports.map(r -> r.digests().total()).orElse(0L));
    }

    /**
     * Returns the reply to another node's pull.
     *
     * @param reportsAge how long ago the reports here were last known to be the newest; the largest long if never
     */
    GossipMessage.GossipPullReply reply(
            final GossipMessage.GossipPull pull, final String sender, final long reportsAge, final long now) {
        final long age = state.age(now);
        return new GossipMessage.GossipPullReply(
                pull.pullSentAt(),
                state.revision(),
                age == Long.MAX_VALUE ? UNKNOWN_AGE : Math.max(0, age),
                state.fleet(),
                state.entriesSince(pull.revision()),
                state.viewNewerThan(pull.view()),
                antiEntropy
                        .<GossipMessage.PullContent>map(a -> a.digestContent(pull, sender, reportsAge, now))
                        .orElseGet(() -> fullContent(pull, now)));
    }

    private GossipMessage.PullContent.FullContent fullContent(final GossipMessage.GossipPull pull, final long now) {
        final boolean membersDiffer = pull.membershipDigest() != memberVersions.membershipDigest();
        return new GossipMessage.PullContent.FullContent(
                announcedWorkers.agesFor(pull.versions(), now),
                announcedWorkers.newerThan(pull.versions()),
                membersDiffer ? membership.all() : List.of());
    }

    /** Returns whether a reply answers one of this node's pulls, and comes from its own fleet. */
    boolean accepts(final GossipMessage.GossipPullReply reply) {
        return pulls.contains(reply.pullSentAt()) && state.acceptsFleet(reply.fleet());
    }

    /**
     * Merges the workers and members of an accepted reply.
     *
     * @return the next message to the sender, if the two nodes hold different reports or members
     */
    Optional<GossipMessage.ReportVersions> mergeContent(
            final GossipMessage.GossipPullReply reply, final String sender, final long now) {
        return switch (reply.content()) {
            case GossipMessage.PullContent.FullContent content -> {
                onFullContent(content, reply.pullSentAt(), now);
                yield Optional.empty();
            }
            case GossipMessage.PullContent.DigestContent content ->
                antiEntropy.flatMap(a -> a.onDigestContent(content, reply.pullSentAt(), sender));
        };
    }

    private void onFullContent(
            final GossipMessage.PullContent.FullContent content, final long pullSentAt, final long now) {
        content.members().forEach(member -> membership.applyUpdate(member, now));
        content.workers().forEach(announcedWorkers::merge);
        announcedWorkers.onAges(content.ages(), pullSentAt);
    }
}
