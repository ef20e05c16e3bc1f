package silverlatch.server.gateway;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import silverlatch.dispatch.TraceLog;
import silverlatch.placement.ScorerResult;
import silverlatch.placement.WeightedScorers;

/** Converts the trace of a request to the JSON object that operators get; docs/api.md describes its fields. */
final class RequestTraceJson {
    private static final double THOUSANDTHS = 1_000.0;

    private RequestTraceJson() {}

    static Map<String, Object> write(final TraceLog.RequestTrace trace) {
        final List<Map<String, Object>> scores =
                trace.scores().stream().map(RequestTraceJson::write).toList();
        final Map<String, Object> body = new TreeMap<>();
        body.put("ticket", trace.requestId());
        body.put("tenant", trace.tenant());
        body.put("kind", trace.kind());
        body.put("worker", trace.worker());
        body.put("table", trace.revision());
        body.put("stamp", "" + trace.timestamp());
        body.put("state", trace.state());
        body.put("why", trace.reason());
        body.put("tries", trace.attempts());
        body.put("judges", scores);
        return body;
    }

    private static Map<String, Object> write(final WeightedScorers.WeightedScore score) {
        return Map.of(
                "worker", score.worker(),
                "judge", score.scorer(),
                "weight", score.weight(),
                "finding", describe(score.result()));
    }

    private static String describe(final ScorerResult result) {
        return switch (result) {
            case ScorerResult.Score score -> "score " + Math.round(score.value() * THOUSANDTHS) / THOUSANDTHS;
            case ScorerResult.Veto veto -> "veto: " + veto.reason();
            case ScorerResult.Deferred deferred -> "later: " + deferred.reason();
        };
    }
}
