package silverlatch.wire;

import java.util.List;
import silverlatch.gossip.ReportVersion;
import silverlatch.gossip.Worker;
import silverlatch.gossip.WorkerReport;
import silverlatch.membership.Member;
import silverlatch.replication.View;
import silverlatch.state.Entry;

/**
 * Messages that spread worker reports, members and the configuration's revision.
 *
 * <p>A push takes effect at once but never makes anything held fresher: freshness comes from pulls only, dated by the
 * puller's own clock at the moment it asked. So no delay, freeze or partition lets old information pass for new.
 */
public sealed interface GossipMessage extends Message {
    /**
     * A change passed on at once.
     *
     * @param members members that changed
     * @param workers workers that changed, as they reported themselves to gateways
     * @param reports reports on workers that changed, as controllers spread them
     * @param revision the sequence of the newest configuration known to the sender
     */
    record GossipPush(List<Member> members, List<Worker> workers, List<WorkerReport> reports, long revision)
            implements GossipMessage {
        /** Copies the lists. */
        public GossipPush {
            members = List.copyOf(members);
            workers = List.copyOf(workers);
            reports = List.copyOf(reports);
        }

        /** Makes a push without reports of controllers. */
        public GossipPush(final List<Member> members, final List<Worker> workers, final long revision) {
            this(members, workers, List.of(), revision);
        }
    }

    /**
     * A pull: what the asker holds, in short.
     *
     * @param pullSentAt the asker's monotonic clock, in microseconds; echoed in the reply, which is dated by it
     * @param revision the sequence of the newest configuration that the asker holds
     * @param view the number of the newest view that the asker knows
     * @param versions what the asker holds of each worker; empty where digests are compared instead
     * @param membershipDigest the digest over all members that the asker holds
     * @param reportsDigest the digest over all worker reports that the asker holds
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
     * @param pullSentAt the pull's {@code pullSentAt}
     * @param revision the sequence of the configuration that the replier follows
     * @param age how long ago the replier's configuration was confirmed as the newest, in microseconds
     * @param fleet the fleet's number, 0 before it is known
     * @param entries the entries of the configuration that the asker lacks
     * @param view the replier's view where the asker's is older, else empty
     * @param content workers and members
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

    /** What the reply to a pull says of workers and members. */
    sealed interface PullContent {
        /**
         * All that the asker needs, where workers report to gateways.
         *
         * @param ages the ages of reports that both hold
         * @param workers the reports that the asker lacks
         * @param members the members that the asker lacks
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
         * Digests, where workers report to controllers.
         *
         * @param age how long ago the replier's reports were surely the newest, in microseconds, or -1 if never
         * @param ranges the digests by range of names where they differ from the asker's, else empty
         * @param heartbeats the ages of workers' heartbeats; sent between controllers only
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
     * Digests by range of names.
     *
     * @param reports the digests of worker reports; empty where all are equal
     * @param members the digests of members; empty where all are equal
     */
    record RangeDigests(long[] reports, long[] members) {}

    /**
     * How long ago each worker was heard.
     *
     * @param namesDigest the digest of the names that the ages belong to
     * @param ages four bits each, in the order of names
     */
    record HeartbeatAges(long namesDigest, long[] ages) {}

    /**
     * All that the asker holds in the ranges whose digests differ.
     *
     * @param pullSentAt the {@code pullSentAt} of the pull that this continues
     * @param reportRanges the ranges of worker reports, a bit each
     * @param memberRanges the ranges of members, a bit each
     * @param workers what the asker holds of the workers in them
     * @param members what the asker holds of the members in them
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
     * What the receiver lacks.
     *
     * @param pullSentAt the {@code pullSentAt} of the pull that this ends, or 0
     * @param reports the worker reports that it lacks
     * @param members the members that it lacks
     * @param requestedWorkers the names of workers of which it holds newer reports, which the sender asks for
     * @param requestedMembers the names of members of which it holds newer entries, which the sender asks for
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
     * @param sequence the report's number within the incarnation
     * @param age how old the report is at the sender, in microseconds; negative where it was never renewed there
     */
    record ReportAge(String id, long incarnation, long sequence, long age) {}
}
