package silverlatch.simulation.explore;

import java.util.Optional;

/**
 * One operation of an operator in the history.
 *
 * @param kind    put, read, evacuate, take back or read zone (a resend is a put)
 * @param number  the configuration number of a put
 * @param match   the configuration number that must be current for a put to succeed, or -1 for any
 * @param start   the step of the world at which it began
 * @param outcome the outcome, empty while it is unknown
 */
record Operation(Action.Kind kind, int number, int match, long start, Optional<Outcome> outcome) {
    /** The known outcome of an operation. */
    sealed interface Outcome {
        /** Returns the step of the world at which the response arrived. */
        long end();

        /** The write took effect. */
        record Acknowledged(long end) implements Outcome {}

        /** The write was rejected and never takes effect. */
        record Refused(long end, int code) implements Outcome {}

        /** A read returned a value: the text of the configuration document, or "true" if the zone is evacuated. */
        record Value(long end, String value) implements Outcome {}
    }

    /** Returns the text that a put writes. It contains number and match, so that two different puts of one number differ. */
    String text() {
        return number + "/" + match;
    }

    /** Returns whether this is a read of the configuration or of the zone. */
    boolean isRead() {
        return kind == Action.Kind.READ || kind == Action.Kind.READ_ZONE;
    }

    Operation withOutcome(final Outcome how) {
        return new Operation(kind, number, match, start, Optional.of(how));
    }

    /** Returns the step at which it ended, or {@code Long.MAX_VALUE} if its outcome is unknown. */
    long end() {
        return outcome.map(Outcome::end).orElse(Long.MAX_VALUE);
    }

    @Override
    public String toString() {
        return kind + (kind == Action.Kind.PUT ? " " + text() : "") + " from " + start + " "
                + outcome.map(Object::toString).orElse("(end unknown)");
    }
}
