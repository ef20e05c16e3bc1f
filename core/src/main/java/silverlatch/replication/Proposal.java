package silverlatch.replication;

import java.util.HashSet;
import java.util.Set;

/**
 * What a proposer has under way for one number: first it collects promises, then acceptances.
 *
 * @param number                the number of the proposed view
 * @param ballot                the proposer's ballot; no other proposer uses it
 * @param view                  the proposed view
 * @param highestAcceptedBallot the highest ballot of an acceptance that a promise reported, or 0: then any view may be proposed
 * @param isAccepting           whether a majority has promised, and acceptances are collected
 * @param supporters            the voters that promised, or accepted; it grows with their replies
 * @param startedAt             when it began, in microseconds
 */
record Proposal(
        long number,
        long ballot,
        View view,
        long highestAcceptedBallot,
        boolean isAccepting,
        Set<String> supporters,
        long startedAt) {
    /** A proposal that nobody has promised yet. */
    static Proposal prepare(final long number, final long ballot, final View view, final long now) {
        return new Proposal(number, ballot, view, 0, false, new HashSet<>(), now);
    }

    /** The same for another view, which was accepted with this ballot. */
    Proposal withView(final long acceptedBallot, final View acceptedView) {
        return new Proposal(number, ballot, acceptedView, acceptedBallot, isAccepting, supporters, startedAt);
    }

    /** The same, where acceptances are collected. */
    Proposal toAccept() {
        return new Proposal(number, ballot, view, highestAcceptedBallot, true, new HashSet<>(), startedAt);
    }

    /** Whether no view that an earlier ballot may have decided binds this proposal. */
    boolean mayChooseView() {
        return highestAcceptedBallot == 0;
    }

    /** Whether replies with this number and ballot are to this proposal. */
    boolean matches(final long replyNumber, final long replyBallot) {
        return number == replyNumber && ballot == replyBallot;
    }
}
