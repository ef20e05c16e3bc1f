package silverlatch.server.proxy;

import java.util.Optional;

/**
 * The position up to which a stream was forwarded to its client, from which another worker can resume it.
 *
 * @param lastEventId   the id of the last complete event that was forwarded; empty before the first event with an id
 * @param weightVersion the version of the model weights that produced it; empty if no worker sent one
 */
record StreamPosition(Optional<String> lastEventId, Optional<String> weightVersion) {
    /** The position before any event was forwarded. */
    static final StreamPosition START = new StreamPosition(Optional.empty(), Optional.empty());

    /** Returns whether a worker can resume the stream from this position. */
    boolean isResumable() {
        return lastEventId.isPresent();
    }

    /** Returns this position with the weight version of a response's headers; unchanged if they contain none. */
    StreamPosition withWeightVersion(final Optional<String> version) {
        return new StreamPosition(lastEventId, version.or(this::weightVersion));
    }

    /** Returns this position with the parts that are present in a later position of the same stream. */
    StreamPosition advancedTo(final StreamPosition later) {
        return new StreamPosition(later.lastEventId.or(this::lastEventId), later.weightVersion.or(this::weightVersion));
    }
}
