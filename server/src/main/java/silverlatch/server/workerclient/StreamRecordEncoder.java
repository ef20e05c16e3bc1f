package silverlatch.server.workerclient;

import java.util.Map;
import silverlatch.dispatch.StreamRecord;
import silverlatch.json.JsonDocument;

/** Encodes the records of a stream as clients receive them: one JSON object per line (docs/worker-format.md). */
public final class StreamRecordEncoder {
    private StreamRecordEncoder() {}

    /** Returns the record as one line, including the newline. */
    public static String encode(final StreamRecord record) {
        return JsonDocument.write(
                        switch (record) {
                            case StreamRecord.Chunk chunk -> chunk(chunk);
                            case StreamRecord.Trailer trailer -> Map.of("seal", trailer(trailer));
                            case StreamRecord.Lost lost ->
                                Map.of("lost", Map.of("ticket", lost.requestId(), "why", lost.reason()));
                        })
                + "\n";
    }

    private static Map<String, Object> chunk(final StreamRecord.Chunk chunk) {
        return Map.of(
                "ticket", chunk.requestId(),
                "run", chunk.attemptId(),
                "number", chunk.index(),
                "text", chunk.text());
    }

    private static Map<String, Object> trailer(final StreamRecord.Trailer trailer) {
        return Map.of(
                "worker", trailer.worker(),
                "ticket", trailer.requestId(),
                "run", trailer.attemptId(),
                "count", trailer.chunkCount(),
                "sha256", trailer.sha256());
    }
}
