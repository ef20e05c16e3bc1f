package silverlatch.simulation.explore;

import java.util.Optional;

/**
 * One operation of an operator, as its history tells it.
 *
 * @param kind   put, read, evacuate, take back or read zone (a resend is a put)
 * @param number the configuration's number of a put
 * @param match  the number that a put builds on, or -1
 * @param start  when it began, in steps
 */
record Operation(Action.Kind kind, int number, int match, long start, Optional<Outcome> outcome) {
    /** How an operation ended, and when, in steps. One that isn't known to have ended has none. */
    sealed interface Outcome {
        /** When the answer came. */
        long end();

        /** It took effect. */
        record Acknowledged(long end) implements Outcome {}

        /** It never takes effect. */
        record Refused(long end, int code) implements Outcome {}

        /** A read's value: the text of the document, or whether the zone is evacuated. */
        record Value(long end, String value) implements Outcome {}
    }

    /** What a put writes: it tells number and match, so that two orders of one number differ. */
    String text() {
        return number + "/" + match;
    }

    /** Whether it reads. */
    boolean isRead() {
        return kind == Action.Kind.READ || kind == Action.Kind.READ_ZONE;
    }

    Operation withOutcome(final Outcome how) {
        return new Operation(kind, number, match, start, Optional.of(how));
    }

    /** When it ended for sure, or never. */
    long end() {
        return outcome.map(Outcome::end).orElse(Long.MAX_VALUE);
    }

    @Override
    public String toString() {
        return kind + (kind == Action.Kind.PUT ? " " + text() : "") + " from " + start + " "
                + outcome.map(Object::toString).orElse("(end unknown)");
    }
}
