package silverlatch.wire;

import java.util.Objects;
import silverlatch.clock.Stamp;

/**
 * The envelope of every message between daemons. A frame can't be made without a stamp.
 *
 * @param stamp the stamp of the send event
 * @param fleet the fleet's number, 0 before it is known
 * @param from the sender's name
 * @param replyTo the address at which the sender takes frames
 * @param incarnation the sender's incarnation
 * @param body the message
 */
public record Frame(Stamp stamp, long fleet, String from, String replyTo, long incarnation, Message body) {
    /** Rejects a frame without its stamp. */
    public Frame {
        Objects.requireNonNull(stamp);
        Objects.requireNonNull(from);
        Objects.requireNonNull(replyTo);
        Objects.requireNonNull(body);
        if (stamp.bits() <= 0) {
            throw new IllegalArgumentException("a frame needs a stamp");
        }
    }
}
