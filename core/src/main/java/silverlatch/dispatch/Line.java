package silverlatch.dispatch;

/** One record of a stream. */
public sealed interface Line {
    /** A piece of the reply. */
    record Piece(String ticket, String run, long number, String text) implements Line {}

    /** The worker's seal over the whole reply. */
    record Seal(String worker, String ticket, String run, long count, String sha) implements Line {}

    /** The stream ended without a seal; the ticket began or may have begun, and is never repeated. */
    record Lost(String ticket, String why) implements Line {}
}
