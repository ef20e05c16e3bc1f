package silverlatch.simulation.client;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import silverlatch.json.JsonDocument;
import silverlatch.util.Lists;

/**
 * Records the outcomes of a load: writes a receipt for each request as a line of a file, and counts the outcomes. Safe for use
 * by several threads.
 */
final class Receipts {
    /** The prefix of the outcome of a request whose response was wrong. */
    static final String BAD = "BAD";

    private final PrintWriter writer;
    private final Map<String, Long> outcomes = new TreeMap<>();
    private final List<Long> firstChunkTimes = new ArrayList<>();
    private long openRequests;

    /** Creates the receipts in a new file. */
    Receipts(final Path file) throws IOException {
        writer = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    synchronized void requestStarted() {
        openRequests++;
    }

    /** Records the time from the start of a request to the first chunk of its response, in microseconds. */
    synchronized void firstChunk(final long micros) {
        firstChunkTimes.add(micros);
    }

    /** Counts the outcome of a request and writes its receipt. */
    synchronized void requestEnded(final String kind, final String outcome, final Map<String, Object> receipt) {
        outcomes.merge(kind + " " + outcome, 1L, Long::sum);
        if (outcome.startsWith(BAD)) {
            outcomes.merge(BAD, 1L, Long::sum);
        }
        writer.println(JsonDocument.write(receipt));
        openRequests--;
    }

    synchronized boolean hasOpenRequests() {
        return openRequests > 0;
    }

    /** Returns whether every request has ended, none of them with a wrong response. */
    synchronized boolean isGood() {
        return openRequests == 0 && outcomes.keySet().stream().noneMatch(outcome -> outcome.startsWith(BAD));
    }

    /** Prints the counts of outcomes and the times to the first chunk. */
    synchronized void print() {
        outcomes.forEach((outcome, count) -> System.out.println(outcome + " " + count));
        firstChunkTimes.sort(Long::compare);
        if (!firstChunkTimes.isEmpty()) {
            System.out.println("first piece ms min/median/max " + firstChunkTimes.get(0) / 1000 + "/"
                    + firstChunkTimes.get(firstChunkTimes.size() / 2) / 1000 + "/"
                    + Lists.last(firstChunkTimes) / 1000);
        }
        System.out.println("open " + openRequests);
    }
}
