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
public sealed interface Msg {
    /** A daemon makes itself known, and asks who else is there; it echoes its own monotonic time. */
    record Hail(Member me, long mono) implements Msg {}

    /** Who is there, the hailer's echo, the physical time here in fixed point, and the newest stamp as a floor. */
    record Muster(List<Member> members, long mono, long phys, Stamp floor) implements Msg {
        /** Copies the list. */
        public Muster {
            members = List.copyOf(members);
        }
    }

    /** A heartbeat to a watcher. */
    record Beat(Member me) implements Msg {}

    /** A heartbeat that tells no more than that a life goes on. */
    record Pulse(String id, long life) implements Msg {}

    /** News passed on at once: it can restrict, but renews nothing. */
    record Push(List<Member> members, List<Worker> workers, List<WorkerReport> words, long page) implements Msg {
        /** Copies the lists. */
        public Push {
            members = List.copyOf(members);
            workers = List.copyOf(workers);
            words = List.copyOf(words);
        }

        /** News without words from controllers. */
        public Push(final List<Member> members, final List<Worker> workers, final long page) {
            this(members, workers, List.of(), page);
        }
    }

    /** A pull: what the asker holds in short, and when by its own monotonic clock it asked. */
    record Ask(long at, long page, long view, List<Mark> marks, long crew, long words) implements Msg {
        /** Copies the list. */
        public Ask {
            marks = List.copyOf(marks);
        }
    }

    /** The word on a worker that the asker holds. */
    record Mark(String id, long life, long sequence) {}

    /** The reply to a pull: the page, what the asker lacks of it, the view if the asker's is older, and the news. */
    record Tell(long at, long page, long age, long fleet, List<Entry> entries, List<View> view, News news)
            implements Msg {
        /** Copies the lists. */
        public Tell {
            entries = List.copyOf(entries);
            view = List.copyOf(view);
        }
    }

    /** What a reply to a pull says of workers and members. */
    sealed interface News {
        /** Ages of what both hold, bodies of what the asker lacks. */
        record Whole(List<Aged> ages, List<Worker> workers, List<Member> members) implements News {
            /** Copies the lists. */
            public Whole {
                ages = List.copyOf(ages);
                workers = List.copyOf(workers);
                members = List.copyOf(members);
            }
        }

        /** How long ago the words were surely the newest or -1, digests if they differ, and beats between controllers. */
        record Brief(long age, List<Ranges> ranges, List<Beats> beats) implements News {
            /** Copies the lists. */
            public Brief {
                ranges = List.copyOf(ranges);
                beats = List.copyOf(beats);
            }
        }
    }

    /** Digests by range of names; empty where all are equal. */
    record Ranges(long[] words, long[] crew) {}

    /** How long ago each worker of a roster was heard: four bits each, in the order of names. */
    record Beats(long roster, long[] ages) {}

    /** All that the asker holds in the ranges that differ; the time is that of its pull. */
    record Marks(long at, long words, long crew, List<Mark> workers, List<Mark> members) implements Msg {
        /** Copies the lists. */
        public Marks {
            workers = List.copyOf(workers);
            members = List.copyOf(members);
        }
    }

    /** What the other lacks, and the names of what it has newer; the time is that of the pull it ends, or 0. */
    record Bodies(long at, List<WorkerReport> words, List<Member> members, List<String> workers, List<String> daemons)
            implements Msg {
        /** Copies the lists. */
        public Bodies {
            words = List.copyOf(words);
            members = List.copyOf(members);
            workers = List.copyOf(workers);
            daemons = List.copyOf(daemons);
        }
    }

    /** How old the word on a worker is, in microseconds; negative when it was never renewed here. */
    record Aged(String id, long life, long sequence, long age) {}

    /** A controller with a data folder looks for the others. */
    record Discover(Replica me, boolean empty, List<Replica> heard) implements Msg {
        /** Copies the list. */
        public Discover {
            heard = List.copyOf(heard);
        }
    }

    /** A founding proposed to all seeds. */
    record Bootstrap(View view) implements Msg {}

    /** A founding agreed to and synced. */
    record BootstrapAgreed(long fleet, Replica me) implements Msg {}

    /** A member asks a voter that its view still holds, and says whether it has all that its chain has. */
    record LeaseRequest(long view, long at, Replica me, boolean level) implements Msg {}

    /** A voter says that the view holds, and up to where it knows changes to be acknowledged. */
    record LeaseGrant(long view, long at, String voter, long committed) implements Msg {}

    /** A decided view. */
    record ViewDecided(View view) implements Msg {}

    /** The view register: ask for a promise. */
    record Prepare(long number, long ballot) implements Msg {}

    /** The view register: a promise, with what was accepted before. */
    record Promise(long number, long ballot, String voter, long nodded, List<View> nod) implements Msg {
        /** Copies the list. */
        public Promise {
            nod = List.copyOf(nod);
        }
    }

    /** The view register: accept this. */
    record Accept(long number, long ballot, View view) implements Msg {}

    /** The view register: accepted. */
    record Accepted(long number, long ballot, String voter) implements Msg {}

    /** The view register: a higher ballot was promised. */
    record Preempted(long number, long ballot) implements Msg {}

    /** Changes go down the chain. */
    record Replicate(long view, List<LogEntry> changes) implements Msg {
        /** Copies the list. */
        public Replicate {
            changes = List.copyOf(changes);
        }
    }

    /** Acks come up the chain. */
    record CommitNotice(long view, long sequence) implements Msg {}

    /** A predecessor says how far its own log goes as this view begins. */
    record CatchUpTarget(long view, long sequence) implements Msg {}

    /** A follower says how far it has come. */
    record FetchEntries(long view, String id, long sequence) implements Msg {}

    /** A member to be mended sends its digests. */
    record CompareDigests(long view, Replica me, long sequence, long[] digests) implements Msg {}

    /**
     * One piece of the ranges that differ, at the sequence that all pieces stand for; pieces count from 0. The last one
     * brings the changes after that sequence which the source has synced and doesn't know to be committed.
     */
    record RepairRanges(
            long view, long sequence, int piece, int pieces, List<RangeEntries> spans, List<LogEntry> pending)
            implements Msg {
        /** Copies the lists. */
        public RepairRanges {
            spans = List.copyOf(spans);
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
    record JoinRequest(long view, Replica me, long sequence) implements Msg {}

    /** A wish is sent to the head. */
    record WriteRequest(long ask, String home, Command wish) implements Msg {}

    /** What came of the wish. */
    record WriteReply(long ask, CommandResult verdict) implements Msg {}

    /** A question for the tail: the entries whose keys start so. */
    record ReadRequest(long ask, String home, String start) implements Msg {}

    /** The tail's reply, at a sequence; ok is false where the asked one can't answer. */
    record ReadReply(long ask, boolean ok, long sequence, List<Entry> entries) implements Msg {
        /** Copies the list. */
        public ReadReply {
            entries = List.copyOf(entries);
        }
    }

    /** The sender is told that its stamp was rejected as too far ahead, and the physical time here. */
    record Astray(long units, long phys) implements Msg {}

    /** A member under repair has the pieces before this one. */
    record RepairNext(long view, Replica me, long sequence, int piece) implements Msg {}

    /** A successor has all entries up to a sequence in memory; it says nothing of its disk. */
    record ReplicateAck(long view, String id, long sequence) implements Msg {}

    /** Whether a message is short and others wait for it by a lease or a vote, so that it goes before large ones. */
    static boolean urgent(final Msg msg) {
        return msg instanceof LeaseRequest
                || msg instanceof LeaseGrant
                || msg instanceof ViewDecided
                || msg instanceof Prepare
                || msg instanceof Promise
                || msg instanceof Accept
                || msg instanceof Accepted
                || msg instanceof Preempted
                || msg instanceof JoinRequest
                || msg instanceof CommitNotice
                || msg instanceof ReplicateAck
                || msg instanceof Beat
                || msg instanceof Pulse;
    }
}
