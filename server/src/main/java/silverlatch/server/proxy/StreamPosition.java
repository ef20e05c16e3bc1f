package silverlatch.server.proxy;

import java.util.Optional;

/**
 * How far a stream was forwarded to its client, and by which weights; another worker resumes it from here.
 *
 * @param lastEventId   the id of the last complete event that was forwarded; empty before the first one that has an id
 * @param weightVersion the version of the weights that made it; empty where no worker told one
 */
record StreamPosition(Optional<String> lastEventId, Optional<String> weightVersion) {
    /** Nothing was forwarded. */
    static final StreamPosition START = new StreamPosition(Optional.empty(), Optional.empty());

    /** Whether a worker can go on from here. */
    boolean isResumable() {
        return lastEventId.isPresent();
    }

    /** The position after a response's head came with this version of weights, if it named one. */
    StreamPosition withWeightVersion(final Optional<String> version) {
        return new StreamPosition(lastEventId, version.or(this::weightVersion));
    }

    /** The position after events up to that of another position of the same run. */
    StreamPosition advancedTo(final StreamPosition later) {
        return new StreamPosition(later.lastEventId.or(this::lastEventId), later.weightVersion.or(this::weightVersion));
    }
}
