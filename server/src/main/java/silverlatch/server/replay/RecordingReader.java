package silverlatch.server.replay;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import silverlatch.dispatch.DispatchEffect;
import silverlatch.json.JsonDocument;

/** Reads recordings, and collects their faults with file and line. */
final class RecordingReader {
    private static final int MAX_LINE_BYTES = 4 << 20;

    /** The number of faults after which no further lines are read. */
    private static final int MAX_FAULTS = 50;

    private static final int MAX_REQUEST_ID_LENGTH = 256;
    private static final int MAX_STATE_LENGTH = 32;
    private static final int MAX_REASON_LENGTH = 4096;
    private final List<DispatchEffect.PlacementDecided> placements = new ArrayList<>();
    private final Map<String, String> endStates = new HashMap<>();
    private final List<String> faults = new ArrayList<>();

    private RecordingReader() {}

    /** The result of reading recordings. */
    sealed interface ReadResult {
        /** The contents of all files in their order. */
        record Valid(Recording recording) implements ReadResult {}

        /** All faults that were found, with file and line. */
        record Invalid(List<String> faults) implements ReadResult {
            /** Copies the list of faults. */
            public Invalid {
                faults = List.copyOf(faults);
            }
        }
    }

    /** Reads files, which are given in order from the oldest to the newest. */
    static ReadResult read(final List<Path> files) {
        final RecordingReader reader = new RecordingReader();
        files.forEach(reader::readFile);
        return reader.faults.isEmpty()
                ? new ReadResult.Valid(new Recording(reader.placements, reader.endStates))
                : new ReadResult.Invalid(reader.faults);
    }

    private void readFile(final Path file) {
        final List<String> lines;
        try {
            lines = Files.readAllLines(file, StandardCharsets.UTF_8);
        } catch (final IOException failure) {
            faults.add(file + ": can't be read: " + failure.getMessage());
            return;
        }
        if (lines.isEmpty() || !lines.get(0).equals(RecordingFormat.HEADER)) {
            faults.add(file + ":1: not a recording of ours");
            return;
        }
        for (int i = 1; i < lines.size() && faults.size() < MAX_FAULTS; i++) {
            readLine(file + ":" + (i + 1) + ": ", lines.get(i));
        }
    }

    private void readLine(final String location, final String line) {
        switch (JsonDocument.parse(line.getBytes(StandardCharsets.UTF_8), MAX_LINE_BYTES)) {
            case JsonDocument.ParseResult.Invalid invalid -> faults.add(location + invalid.reason());
            case JsonDocument.ParseResult.Valid valid -> {
                final JsonDocument document = valid.document();
                if (document.has(RecordingFormat.END)) {
                    readEnd(document.object(RecordingFormat.END));
                } else {
                    readPlacement(document);
                }
                document.finish().forEach(fault -> faults.add(location + fault));
            }
        }
    }

    private void readEnd(final JsonDocument end) {
        endStates.put(end.string("ticket", MAX_REQUEST_ID_LENGTH), end.string("state", MAX_STATE_LENGTH));
        end.string("why", MAX_REASON_LENGTH, "");
        end.finish();
    }

    private void readPlacement(final JsonDocument document) {
        final JsonDocument placement = document.object(RecordingFormat.PLACEMENT);
        if (document.faults().isEmpty()) {
            placements.add(PlacementJson.read(placement));
        }
    }
}
