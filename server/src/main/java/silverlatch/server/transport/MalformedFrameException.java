package silverlatch.server.transport;

import java.io.IOException;

/** Thrown if a peer sent bytes that aren't a valid frame. */
final class MalformedFrameException extends IOException {
    MalformedFrameException(final String reason) {
        super(reason);
    }
}
