package silverlatch.replication;

import java.util.HashSet;
import java.util.Set;

/**
 * The proposal of a proposer for one view number: it collects promises first (prepare phase), then acceptances (accept phase).
 *
 * @param number                the number of the proposed view
 * @param ballot                the proposer's ballot; no other proposer uses the same one
 * @param view                  the proposed view
 * @param highestAcceptedBallot the highest ballot of an accepted view that a promise reported; 0 if none did, then the proposer may
 *                              propose any view
 * @param isAccepting           whether the proposal is in the accept phase, as a majority has promised
 * @param supporters            the identities of the voters that promised, or accepted, in the current phase; grows with their replies
 * @param startedAt             when the proposal started, in microseconds
 */
record Proposal(
        long number,
        long ballot,
        View view,
        long highestAcceptedBallot,
        boolean isAccepting,
        Set<String> supporters,
        long startedAt) {
    /** Returns a proposal in the prepare phase, without any promises. */
    static Proposal prepare(final long number, final long ballot, final View view, final long now) {
        return new Proposal(number, ballot, view, 0, false, new HashSet<>(), now);
    }

    /** Returns a copy that proposes another view, which was accepted with the given ballot (0 for a view that wasn't accepted yet). */
    Proposal withView(final long acceptedBallot, final View acceptedView) {
        return new Proposal(number, ballot, acceptedView, acceptedBallot, isAccepting, supporters, startedAt);
    }

    /** Returns a copy in the accept phase, without any acceptances. */
    Proposal toAccept() {
        return new Proposal(number, ballot, view, highestAcceptedBallot, true, new HashSet<>(), startedAt);
    }

    /** Returns whether the proposer may choose the view, as no promise reported an accepted view that may already be decided. */
    boolean mayChooseView() {
        return highestAcceptedBallot == 0;
    }

    /** Returns whether a reply with this number and ballot belongs to this proposal. */
    boolean matches(final long replyNumber, final long replyBallot) {
        return number == replyNumber && ballot == replyBallot;
    }
}
