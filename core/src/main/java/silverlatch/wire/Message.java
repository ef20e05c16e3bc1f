package silverlatch.wire;

import java.util.List;
import silverlatch.clock.Stamp;
import silverlatch.gossip.Worker;
import silverlatch.gossip.WorkerReport;
import silverlatch.membership.Member;
import silverlatch.replication.LogEntry;
import silverlatch.replication.Replica;
import silverlatch.replication.View;
import silverlatch.state.Command;
import silverlatch.state.CommandResult;
import silverlatch.state.Entry;

/** What daemons say to each other. */
public sealed interface Message {
    /** A daemon makes itself known, and asks who else is there; it echoes its own monotonic time. */
    record JoinGreeting(Member sender, long sentAt) implements Message {}

    /** Who is there, the hailer's echo, the physical time here in fixed point, and the newest stamp as a floor. */
    record MemberList(List<Member> members, long echoedAt, long physicalTime, Stamp stampFloor) implements Message {
        /** Copies the list. */
        public MemberList {
            members = List.copyOf(members);
        }
    }

    /** A heartbeat to a watcher. */
    record Heartbeat(Member sender) implements Message {}

    /** A heartbeat that tells no more than that a life goes on. */
    record LivenessHeartbeat(String id, long incarnation) implements Message {}

    /** News passed on at once: it can restrict, but renews nothing. */
    record GossipPush(List<Member> members, List<Worker> workers, List<WorkerReport> reports, long revision)
            implements Message {
        /** Copies the lists. */
        public GossipPush {
            members = List.copyOf(members);
            workers = List.copyOf(workers);
            reports = List.copyOf(reports);
        }

        /** News without words from controllers. */
        public GossipPush(final List<Member> members, final List<Worker> workers, final long page) {
            this(members, workers, List.of(), page);
        }
    }

    /** A pull: what the asker holds in short, and when by its own monotonic clock it asked. */
    record GossipPull(
            long askedAt,
            long revision,
            long view,
            List<ReportVersion> versions,
            long membershipDigest,
            long reportsDigest)
            implements Message {
        /** Copies the list. */
        public GossipPull {
            versions = List.copyOf(versions);
        }
    }

    /** The word on a worker that the asker holds. */
    record ReportVersion(String id, long incarnation, long sequence) {}

    /** The reply to a pull: the page, what the asker lacks of it, the view if the asker's is older, and the news. */
    record GossipPullReply(
            long askedAt,
            long revision,
            long age,
            long fleet,
            List<Entry> entries,
            List<View> view,
            PullContent content)
            implements Message {
        /** Copies the lists. */
        public GossipPullReply {
            entries = List.copyOf(entries);
            view = List.copyOf(view);
        }
    }

    /** What a reply to a pull says of workers and members. */
    sealed interface PullContent {
        /** Ages of what both hold, bodies of what the asker lacks. */
        record FullContent(List<ReportAge> ages, List<Worker> workers, List<Member> members) implements PullContent {
            /** Copies the lists. */
            public FullContent {
                ages = List.copyOf(ages);
                workers = List.copyOf(workers);
                members = List.copyOf(members);
            }
        }

        /** How long ago the words were surely the newest or -1, digests if they differ, and beats between controllers. */
        record DigestContent(long age, List<RangeDigests> ranges, List<HeartbeatAges> heartbeats)
                implements PullContent {
            /** Copies the lists. */
            public DigestContent {
                ranges = List.copyOf(ranges);
                heartbeats = List.copyOf(heartbeats);
            }
        }
    }

    /** Digests by range of names; empty where all are equal. */
    record RangeDigests(long[] reports, long[] members) {}

    /** How long ago each worker of a roster was heard: four bits each, in the order of names. */
    record HeartbeatAges(long roster, long[] ages) {}

    /** All that the asker holds in the ranges that differ; the time is that of its pull. */
    record ReportVersions(
            long askedAt,
            long reportRanges,
            long memberRanges,
            List<ReportVersion> workers,
            List<ReportVersion> members)
            implements Message {
        /** Copies the lists. */
        public ReportVersions {
            workers = List.copyOf(workers);
            members = List.copyOf(members);
        }
    }

    /** What the other lacks, and the names of what it has newer; the time is that of the pull it ends, or 0. */
    record MissingReports(
            long askedAt,
            List<WorkerReport> reports,
            List<Member> members,
            List<String> newerWorkers,
            List<String> newerDaemons)
            implements Message {
        /** Copies the lists. */
        public MissingReports {
            reports = List.copyOf(reports);
            members = List.copyOf(members);
            newerWorkers = List.copyOf(newerWorkers);
            newerDaemons = List.copyOf(newerDaemons);
        }
    }

    /** How old the word on a worker is, in microseconds; negative when it was never renewed here. */
    record ReportAge(String id, long incarnation, long sequence, long age) {}

    /** A controller with a data folder looks for the others. */
    record Discover(Replica sender, boolean empty, List<Replica> heard) implements Message {
        /** Copies the list. */
        public Discover {
            heard = List.copyOf(heard);
        }
    }

    /** A founding proposed to all seeds. */
    record Bootstrap(View view) implements Message {}

    /** A founding agreed to and synced. */
    record BootstrapAgreed(long fleet, Replica sender) implements Message {}

    /**
     * A member asks a voter that its view still holds.
     *
     * @param view    the number of the member's view
     * @param askedAt      when it asks, by its own monotonic clock; the lease is dated from here
     * @param sender      the member
     * @param caughtUp   whether it has all that its chain has
     * @param hearsMajority whether it hears a majority of the voters; one that doesn't is as good as silent
     */
    record LeaseRequest(long view, long askedAt, Replica sender, boolean caughtUp, boolean hearsMajority)
            implements Message {}

    /** A voter says that the view holds, and up to where it knows changes to be acknowledged. */
    record LeaseGrant(long view, long askedAt, String voter, long committed) implements Message {}

    /** A decided view. */
    record ViewDecided(View view) implements Message {}

    /** The view register: ask for a promise. */
    record Prepare(long number, long ballot) implements Message {}

    /** The view register: a promise, with what was accepted before. */
    record Promise(long number, long ballot, String voter, long acceptedBallot, List<View> acceptedView)
            implements Message {
        /** Copies the list. */
        public Promise {
            acceptedView = List.copyOf(acceptedView);
        }
    }

    /** The view register: accept this. */
    record Accept(long number, long ballot, View view) implements Message {}

    /** The view register: accepted. */
    record Accepted(long number, long ballot, String voter) implements Message {}

    /** The view register: a higher ballot was promised. */
    record Preempted(long number, long ballot) implements Message {}

    /** Changes go down the chain. */
    record Replicate(long view, List<LogEntry> entries) implements Message {
        /** Copies the list. */
        public Replicate {
            entries = List.copyOf(entries);
        }
    }

    /** Acks come up the chain. */
    record CommitNotice(long view, long sequence) implements Message {}

    /** A predecessor says how far its own log goes as this view begins. */
    record CatchUpTarget(long view, long sequence) implements Message {}

    /** A follower says how far it has come. */
    record FetchEntries(long view, String id, long sequence) implements Message {}

    /** A member to be mended sends its digests. */
    record CompareDigests(long view, Replica sender, long sequence, long[] digests) implements Message {}

    /**
     * One piece of the ranges that differ, at the sequence that all pieces stand for; pieces count from 0. The last one
     * brings the changes after that sequence which the source has synced and doesn't know to be committed, and the
     * digests of all ranges: the repaired state must have the same, or the pieces answered an older question.
     */
    record RepairRanges(
            long view,
            long sequence,
            int piece,
            int pieces,
            List<RangeEntries> ranges,
            List<LogEntry> pending,
            long[] digests)
            implements Message {
        /** Copies the lists. */
        public RepairRanges {
            ranges = List.copyOf(ranges);
            pending = List.copyOf(pending);
        }
    }

    /** One range of entries. */
    record RangeEntries(int range, List<Entry> entries) {
        /** Copies the list. */
        public RangeEntries {
            entries = List.copyOf(entries);
        }
    }

    /** A mended member asks to be put at the end of the chain. */
    record JoinRequest(long view, Replica sender, long sequence) implements Message {}

    /** A wish is sent to the head. */
    record WriteRequest(long requestId, String replyTo, Command command) implements Message {}

    /** What came of the wish. */
    record WriteReply(long requestId, CommandResult result) implements Message {}

    /** A question for the tail: the entries whose keys start so. */
    record ReadRequest(long requestId, String replyTo, String keyPrefix) implements Message {}

    /** The tail's reply, at a sequence; ok is false where the asked one can't answer. */
    record ReadReply(long requestId, boolean answered, long sequence, List<Entry> entries) implements Message {
        /** Copies the list. */
        public ReadReply {
            entries = List.copyOf(entries);
        }
    }

    /** The sender is told that its stamp was rejected as too far ahead, and the physical time here. */
    record StampRejected(long excess, long physicalTime) implements Message {}

    /** A member under repair has the pieces before this one. */
    record RepairNext(long view, Replica sender, long sequence, int piece) implements Message {}

    /** A successor has all entries up to a sequence in memory; it says nothing of its disk. */
    record ReplicateAck(long view, String id, long sequence) implements Message {}

    /** Whether a message is short and others wait for it by a lease or a vote, so that it goes before large ones. */
    static boolean urgent(final Message message) {
        return message instanceof LeaseRequest
                || message instanceof LeaseGrant
                || message instanceof ViewDecided
                || message instanceof Prepare
                || message instanceof Promise
                || message instanceof Accept
                || message instanceof Accepted
                || message instanceof Preempted
                || message instanceof JoinRequest
                || message instanceof CommitNotice
                || message instanceof ReplicateAck
                || message instanceof Heartbeat
                || message instanceof LivenessHeartbeat;
    }
}
