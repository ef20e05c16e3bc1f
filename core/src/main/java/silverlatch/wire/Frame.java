package silverlatch.wire;

import java.util.Objects;
import silverlatch.clock.Stamp;

/**
 * The envelope of every message between nodes. Every frame must have a stamp (a timestamp that preserves causality).
 *
 * @param stamp the timestamp of the send event
 * @param fleet the id of the fleet, 0 while the sender doesn't know it
 * @param from the sender's name
 * @param replyTo the address at which the sender receives frames
 * @param incarnation the incarnation of the sender's process
 * @param body the message
 */
public record Frame(Stamp stamp, long fleet, String from, String replyTo, long incarnation, Message body) {
    /** Throws IllegalArgumentException if the stamp isn't set. */
    public Frame {
        Objects.requireNonNull(stamp);
        Objects.requireNonNull(from);
        Objects.requireNonNull(replyTo);
        Objects.requireNonNull(body);
        if (stamp.bits() <= 0) {
            throw new IllegalArgumentException("a frame must have a stamp");
        }
    }
}
