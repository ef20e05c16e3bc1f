package silverlatch.simulation.sim;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * What operators were answered to configurations, each answer held against those before it: one document a revision and
 * one a version built on, an answer that never turns, and reads no older than any acknowledgement that came before them.
 */
final class ConfigurationHistory {
    private final Observer observer;
    private final Map<Long, String> byRevision = new HashMap<>();
    private final Map<Long, String> byMatch = new HashMap<>();
    private final Set<String> acknowledged = new HashSet<>();
    private final Set<String> rejected = new HashSet<>();
    private long newest;

    ConfigurationHistory(final Observer watch) {
        this.observer = watch;
    }

    /** The highest revision that was acknowledged. */
    long newest() {
        return newest;
    }

    /** Whether a document was acknowledged. */
    boolean acknowledged(final String document) {
        return acknowledged.contains(document);
    }

    /** A document was acknowledged under its revision, on top of the version that it matched. */
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

    /** A document was refused. */
    void recordRejection(final String document) {
        observer.count("configurations-refused");
        observer.exercise(Invariant.REJECTED_CHANGE);
        rejected.add(document);
        if (acknowledged.contains(document)) {
            observer.violated(
                    Invariant.REJECTED_CHANGE, document + " was acknowledged, and refused when it was sent again");
        }
    }

    /** A document was read back; the read began when {@code before} was the highest revision acknowledged. */
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

    private void requireUnique(final Map<Long, String> held, final long key, final String document, final String what) {
        final String old = held.getOrDefault(key, document);
        held.putIfAbsent(key, document);
        if (!old.equals(document)) {
            observer.violated(
                    Invariant.REJECTED_CHANGE, old + " and " + document + " were both acknowledged " + what + key);
        }
    }
}
