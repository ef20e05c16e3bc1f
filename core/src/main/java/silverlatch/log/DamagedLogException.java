package silverlatch.log;

import java.io.IOException;

/**
 * The content of a data folder can't be trusted: a file is missing, cut short, or not what was written. Other than with
 * an {@link IOException} of the disk, reading again is of no use.
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
