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

/** Reads recordings whole, and lists what is wrong with them by file and line. */
final class RecordingReader {
    private static final int MAX_LINE_BYTES = 4 << 20;

    /** After so many faults the rest of a file isn't read. */
    private static final int MAX_FAULTS = 50;

    private static final int MAX_REQUEST_ID_LENGTH = 256;
    private static final int MAX_STATE_LENGTH = 32;
    private static final int MAX_REASON_LENGTH = 4096;
    private final List<DispatchEffect.PlacementDecided> placements = new ArrayList<>();
    private final Map<String, String> endStates = new HashMap<>();
    private final List<String> faults = new ArrayList<>();

    private RecordingReader() {}

    /** What reading came to. */
    sealed interface ReadResult {
        /** All files, one after another. */
        record Valid(Recording recording) implements ReadResult {}

        /** Every fault with its file and line. */
        record Invalid(List<String> faults) implements ReadResult {
            /** Copies the faults. */
            public Invalid {
                faults = List.copyOf(faults);
            }
        }
    }

    /** Reads files, the oldest first. */
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
