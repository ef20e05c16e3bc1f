package silverlatch.gossip;

import java.util.List;
import java.util.Optional;
import silverlatch.membership.Membership;
import silverlatch.wire.Message;

/** What is said in a pull where workers announce to controllers: digests first, then marks, then bodies that differ. */
final class Pulls {
    private final WorkerReports words;
    private final Peers peers;
    private final Membership crew;
    private Optional<Pull> open = Optional.empty();

    Pulls(final WorkerReports words, final Peers peers, final Membership crew) {
        this.words = words;
        this.peers = peers;
        this.crew = crew;
    }

    /** What the asked says of workers and members; the age is that of its own words. */
    Message.PullContent.DigestContent brief(
            final Message.GossipPull m, final String home, final long age, final long now) {
        final boolean word = m.reportsDigest() != words.sums().total();
        final boolean who = m.membershipDigest() != peers.ring().total();
        final Message.RangeDigests ranges = new Message.RangeDigests(
                word ? words.sums().ranges() : new long[0], who ? peers.ring().ranges() : new long[0]);
        return new Message.PullContent.DigestContent(
                age == Long.MAX_VALUE ? -1 : age,
                word || who ? List.of(ranges) : List.of(),
                peers.controller() && peers.controller(home) ? List.of(words.beats(now)) : List.of());
    }

    /** What the asker says to that: nothing where all is equal. */
    Optional<Message.ReportVersions> told(final Message.PullContent.DigestContent b, final long at, final String home) {
        if (peers.controller()) {
            b.heartbeats().forEach(x -> words.beats(x, home, at));
        }
        final Pull pull = new Pull(home, at, b.age());
        final long word = b.ranges().stream()
                .mapToLong(r -> words.sums().differ(r.reports()))
                .findFirst()
                .orElse(0);
        final long who = b.ranges().stream()
                .mapToLong(r -> peers.ring().differ(r.members()))
                .findFirst()
                .orElse(0);
        if (word == 0 && who == 0) {
            match(pull);
            return Optional.empty();
        }
        open = Optional.of(pull);
        return Optional.of(new Message.ReportVersions(at, word, who, words.marks(word), peers.marks(who)));
    }

    /** What the asked holds that the asker lacks, and what it lacks itself. */
    Message.MissingReports bodies(final Message.ReportVersions m, final long now) {
        return new Message.MissingReports(
                m.askedAt(),
                words.newer(m.reportRanges(), m.workers(), now),
                peers.newer(m.memberRanges(), m.members()),
                words.lacks(m.workers()),
                peers.lacks(m.members()));
    }

    /** Takes bodies, and gives those that the other lacks. */
    Optional<Message.MissingReports> take(final Message.MissingReports m, final String home, final long now) {
        m.members().forEach(x -> crew.hold(x, now));
        m.reports().forEach(x -> words.take(x, false, now));
        open.filter(p -> p.at() == m.askedAt() && p.home().equals(home)).ifPresent(this::match);
        return m.newerWorkers().isEmpty() && m.newerDaemons().isEmpty()
                ? Optional.empty()
                : Optional.of(new Message.MissingReports(
                        0,
                        words.words(m.newerWorkers(), now),
                        m.newerDaemons().stream()
                                .flatMap(id -> crew.get(id).stream())
                                .toList(),
                        List.of(),
                        List.of()));
    }

    /** Forgets a pull under way. */
    void doubt() {
        open = Optional.empty();
    }

    private void match(final Pull p) {
        open = Optional.empty();
        if (peers.controller(p.home())) {
            words.match(p.home(), p.at());
        }
        if (p.age() >= 0) {
            words.sure(p.at() - p.age());
        }
    }

    private record Pull(String home, long at, long age) {}
}
