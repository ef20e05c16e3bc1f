package silverlatch.server.replay;

import java.util.Map;
import silverlatch.dispatch.DispatchEffect;
import silverlatch.json.JsonDocument;

/**
 * The lines of a recording: a header, and then a JSON object a line for each placement ({@code pick}) and each end of a request
 * ({@code end}). Prompts are not recorded. {@link RecordingReader} reads them back.
 */
public final class RecordingFormat {
    /** The first line of every recording. */
    public static final String HEADER = "{\"silverlatch\":\"day\",\"format\":1}";

    static final String PLACEMENT = "pick";
    static final String END = "end";

    private RecordingFormat() {}

    /** A placement as a line. */
    public static String write(final DispatchEffect.PlacementDecided placement) {
        return JsonDocument.write(Map.of(PLACEMENT, PlacementJson.write(placement)));
    }

    /** The end of a request as a line. */
    public static String write(final DispatchEffect.RequestEnded ended) {
        return JsonDocument.write(
                Map.of(END, Map.of("ticket", ended.requestId(), "state", ended.state(), "why", ended.reason())));
    }
}
