package silverlatch.simulation.sim;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Checks the replies to configuration writes against each other: at most one document is acknowledged under a revision, and at
 * most one on top of a revision; the reply to a repeated write never changes; and no read returns a revision older than the
 * highest one acknowledged before the read.
 */
final class ConfigurationHistory {
    private final Observer observer;
    private final Map<Long, String> byRevision = new HashMap<>();
    private final Map<Long, String> byMatch = new HashMap<>();
    private final Set<String> acknowledged = new HashSet<>();
    private final Set<String> rejected = new HashSet<>();
    private long newest;

    ConfigurationHistory(final Observer observer) {
        this.observer = observer;
    }

    /** Returns the highest revision that was acknowledged. */
    long newest() {
        return newest;
    }

    /** Returns whether a document was acknowledged. */
    boolean isAcknowledged(final String document) {
        return acknowledged.contains(document);
    }

    /** Records that a document was acknowledged under its revision, on top of the revision that it matched. */
    void recordAcknowledgement(final String document, final long revision, final long match) {
        observer.count("configurations-acknowledged");
        if (!acknowledged.add(document)) {
            observer.count("configurations-acknowledged-again");
        }
        newest = Math.max(newest, revision);
        requireUnique(byRevision, revision, document, "under revision ");
        requireUnique(byMatch, match, document, "on top of revision ");
        if (rejected.contains(document)) {
            observer.violated(
                    Invariant.REJECTED_CHANGE, document + " was refused, and acknowledged when it was sent again");
        }
    }

    /** Records that a document was rejected. */
    void recordRejection(final String document) {
        observer.count("configurations-refused");
        observer.exercise(Invariant.REJECTED_CHANGE);
        rejected.add(document);
        if (acknowledged.contains(document)) {
            observer.violated(
                    Invariant.REJECTED_CHANGE, document + " was acknowledged, and refused when it was sent again");
        }
    }

    /** Records a read of the newest document, which began when {@code before} was the highest revision acknowledged. */
    void recordRead(final String document, final long revision, final long before) {
        observer.count("configurations-read");
        if (revision < before) {
            observer.violated(
                    Invariant.LINEARIZABLE_READ,
                    document + " was read back after revision " + before + " was acknowledged");
        }
        if (rejected.contains(document)) {
            observer.violated(Invariant.REJECTED_CHANGE, document + " was refused and is in force");
        }
        Optional.ofNullable(byRevision.get(revision))
                .filter(d -> !d.equals(document))
                .ifPresent(d -> observer.violated(
                        Invariant.REJECTED_CHANGE, d + " was acknowledged, but " + document + " is in force"));
    }

    private void requireUnique(
            final Map<Long, String> documentByKey, final long key, final String document, final String what) {
        final String earlier = documentByKey.getOrDefault(key, document);
        documentByKey.putIfAbsent(key, document);
        if (!earlier.equals(document)) {
            observer.violated(
                    Invariant.REJECTED_CHANGE, earlier + " and " + document + " were both acknowledged " + what + key);
        }
    }
}
