package silverlatch.log;

import java.io.IOException;

/**
 * Thrown when the content of a data directory is corrupt: a file is missing, truncated, or differs from what was written.
 * Unlike an {@link IOException} raised by the disk, this is permanent: retrying the read doesn't help.
 */
final class DamagedLogException extends IOException {
    private static final long serialVersionUID = 1L;

    DamagedLogException(final String message) {
        super(message);
    }

    DamagedLogException(final String message, final DamagedLogException cause) {
        super(message, cause);
    }
}
