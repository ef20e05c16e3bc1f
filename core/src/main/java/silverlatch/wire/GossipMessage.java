package silverlatch.wire;

import java.util.List;
import silverlatch.gossip.ReportVersion;
import silverlatch.gossip.Worker;
import silverlatch.gossip.WorkerReport;
import silverlatch.membership.Member;
import silverlatch.replication.View;
import silverlatch.state.Entry;

/**
 * Gossip messages, which spread worker reports, members and the revision of the configuration.
 *
 * <p>A push is applied at once but never renews the freshness of data. Freshness comes from pulls only and counts from the
 * time, by the puller's own clock, at which the pull was sent. So a delay, a paused process or a partition can't make old
 * information appear fresh.
 */
public sealed interface GossipMessage extends Message {
    /**
     * Changes that are forwarded immediately.
     *
     * @param members the changed members
     * @param workers the changed reports of workers that report to gateways
     * @param reports the changed reports of workers that report to controllers
     * @param revision the sequence number of the newest configuration known to the sender
     */
    record GossipPush(List<Member> members, List<Worker> workers, List<WorkerReport> reports, long revision)
            implements GossipMessage {
        /** Copies the lists. */
        public GossipPush {
            members = List.copyOf(members);
            workers = List.copyOf(workers);
            reports = List.copyOf(reports);
        }

        /** Creates a push without reports from controllers. */
        public GossipPush(final List<Member> members, final List<Worker> workers, final long revision) {
            this(members, workers, List.of(), revision);
        }
    }

    /**
     * A pull: asks for newer data and summarizes what the sender holds.
     *
     * @param pullSentAt the sender's monotonic clock, in microseconds; echoed in the reply, whose freshness counts from it
     * @param revision the sequence number of the newest configuration that the sender holds
     * @param view the number of the newest view that the sender knows
     * @param versions the version of each worker's report that the sender holds; empty if digests are compared instead
     * @param membershipDigest the digest of all members that the sender holds
     * @param reportsDigest the digest of all worker reports that the sender holds
     */
    record GossipPull(
            long pullSentAt,
            long revision,
            long view,
            List<ReportVersion> versions,
            long membershipDigest,
            long reportsDigest)
            implements GossipMessage {
        /** Copies the list. */
        public GossipPull {
            versions = List.copyOf(versions);
        }
    }

    /**
     * The reply to a {@link GossipPull}.
     *
     * @param pullSentAt the {@code pullSentAt} of the pull
     * @param revision the sequence number of the configuration that the replier uses
     * @param age the time since the replier's configuration was confirmed as the newest, in microseconds
     * @param fleet the id of the fleet, 0 while the replier doesn't know it
     * @param entries the entries of the configuration that the puller lacks
     * @param view the replier's view if the puller's is older, else empty
     * @param content the data on workers and members
     */
    record GossipPullReply(
            long pullSentAt,
            long revision,
            long age,
            long fleet,
            List<Entry> entries,
            List<View> view,
            PullContent content)
            implements GossipMessage {
        /** Copies the lists. */
        public GossipPullReply {
            entries = List.copyOf(entries);
            view = List.copyOf(view);
        }
    }

    /** The data on workers and members in the reply to a pull. */
    sealed interface PullContent {
        /**
         * The data that the puller lacks; used if workers report to gateways.
         *
         * @param ages the ages of the reports that both sides hold
         * @param workers the reports that the puller lacks
         * @param members the members that the puller lacks
         */
        record FullContent(List<ReportAge> ages, List<Worker> workers, List<Member> members) implements PullContent {
            /** Copies the lists. */
            public FullContent {
                ages = List.copyOf(ages);
                workers = List.copyOf(workers);
                members = List.copyOf(members);
            }
        }

        /**
         * Digests of the replier's data; used if workers report to controllers.
         *
         * @param age the time since the replier's reports were last confirmed as the newest, in microseconds, or -1 if never
         * @param ranges the digests by range if the total digests differ from the puller's, else empty
         * @param heartbeats the ages of the workers' heartbeats; sent between controllers only
         */
        record DigestContent(long age, List<RangeDigests> ranges, List<HeartbeatAges> heartbeats)
                implements PullContent {
            /** Copies the lists. */
            public DigestContent {
                ranges = List.copyOf(ranges);
                heartbeats = List.copyOf(heartbeats);
            }
        }
    }

    /**
     * Digests by range; a name belongs to a range by its hash.
     *
     * @param reports the digests of worker reports; empty if all are equal
     * @param members the digests of members; empty if all are equal
     */
    record RangeDigests(long[] reports, long[] members) {}

    /**
     * The time since the last heartbeat of each worker.
     *
     * @param incarnationsDigest the digest of the names and incarnations of the workers that the ages belong to
     * @param ages the ages, four bits for each worker, in the order of the workers' names
     */
    record HeartbeatAges(long incarnationsDigest, long[] ages) {}

    /**
     * The versions of all reports and members that the sender holds in the ranges whose digests differ.
     *
     * @param pullSentAt the {@code pullSentAt} of the pull that this continues; negative for a quorum query, whose id it negates
     * @param reportRanges the ranges of worker reports, one bit each
     * @param memberRanges the ranges of members, one bit each
     * @param workers the versions of the worker reports in those ranges
     * @param members the versions of the members in those ranges
     */
    record ReportVersions(
            long pullSentAt,
            long reportRanges,
            long memberRanges,
            List<ReportVersion> workers,
            List<ReportVersion> members)
            implements GossipMessage {
        /** Copies the lists. */
        public ReportVersions {
            workers = List.copyOf(workers);
            members = List.copyOf(members);
        }
    }

    /**
     * The reply to {@link ReportVersions}: the data that the receiver lacks, and the names on which the sender lacks data.
     *
     * @param pullSentAt the {@code pullSentAt} of the {@link ReportVersions} that this completes, or 0 if there is none
     * @param reports the worker reports that the receiver lacks
     * @param members the members that the receiver lacks
     * @param requestedWorkers the names of the workers on which the receiver holds newer reports, which the sender requests
     * @param requestedMembers the names of the members for which the receiver holds newer entries, which the sender requests
     */
    record MissingReports(
            long pullSentAt,
            List<WorkerReport> reports,
            List<Member> members,
            List<String> requestedWorkers,
            List<String> requestedMembers)
            implements GossipMessage {
        /** Copies the lists. */
        public MissingReports {
            reports = List.copyOf(reports);
            members = List.copyOf(members);
            requestedWorkers = List.copyOf(requestedWorkers);
            requestedMembers = List.copyOf(requestedMembers);
        }
    }

    /**
     * The age of a report that both sides hold.
     *
     * @param id the worker's name
     * @param incarnation the worker's incarnation
     * @param sequence the sequence number of the report within the incarnation
     * @param age the age of the report at the sender, in microseconds; negative if it was never renewed there
     */
    record ReportAge(String id, long incarnation, long sequence, long age) {}
}
