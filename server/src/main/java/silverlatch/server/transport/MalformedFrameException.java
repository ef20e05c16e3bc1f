package silverlatch.server.transport;

import java.io.IOException;

/** A peer sent bytes that are no frame. */
final class MalformedFrameException extends IOException {
    MalformedFrameException(final String reason) {
        super(reason);
    }
}
