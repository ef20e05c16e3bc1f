package silverlatch.server.replay;

import java.util.Map;
import silverlatch.dispatch.DispatchEffect;
import silverlatch.json.JsonDocument;

/**
 * The format of recordings: a header line, followed by one JSON object on a line for each placement ({@code pick}) and for each completed
 * request ({@code end}). Prompts are not recorded. {@link RecordingReader} reads the format.
 */
public final class RecordingFormat {
    /** The first line of every recording. */
    public static final String HEADER = "{\"silverlatch\":\"day\",\"format\":1}";

    static final String PLACEMENT = "pick";
    static final String END = "end";

    private RecordingFormat() {}

    /** Returns the line that records a placement. */
    public static String write(final DispatchEffect.PlacementDecided placement) {
        return JsonDocument.write(Map.of(PLACEMENT, PlacementJson.write(placement)));
    }

    /** Returns the line that records the end of a request. */
    public static String write(final DispatchEffect.RequestEnded ended) {
        return JsonDocument.write(
                Map.of(END, Map.of("ticket", ended.requestId(), "state", ended.state(), "why", ended.reason())));
    }
}
