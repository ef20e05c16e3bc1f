package silverlatch.server.workerclient;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.function.Consumer;
import silverlatch.dispatch.StreamRecord;
import silverlatch.json.JsonDocument;

/** Cuts a worker's bytes into lines and reads each as a record of the stream; and writes records for consumers. */
public final class Lines {
    private final int most;
    private final Consumer<StreamRecord> sink;
    private final ByteArrayOutputStream part = new ByteArrayOutputStream();
    private boolean broken;

    /** Reads lines of at most so many bytes. */
    public Lines(final int most, final Consumer<StreamRecord> sink) {
        this.most = most;
        this.sink = sink;
    }

    /** Takes bytes as they come. */
    public void take(final ByteBuffer bytes) {
        while (bytes.hasRemaining() && !broken) {
            final byte b = bytes.get();
            if (b == '\n') {
                line(part.toByteArray());
                part.reset();
            } else if (part.size() >= most) {
                wrong("a line longer than " + most + " bytes");
            } else {
                part.write(b);
            }
        }
    }

    /** A record as a line of JSON. */
    public static String write(final StreamRecord line) {
        return JsonDocument.write(
                        switch (line) {
                            case StreamRecord.Chunk p ->
                                Map.of(
                                        "ticket",
                                        p.requestId(),
                                        "run",
                                        p.attemptId(),
                                        "number",
                                        p.index(),
                                        "text",
                                        p.text());
                            case StreamRecord.Trailer s ->
                                Map.of(
                                        "seal",
                                        Map.of(
                                                "worker",
                                                s.worker(),
                                                "ticket",
                                                s.requestId(),
                                                "run",
                                                s.attemptId(),
                                                "count",
                                                s.chunkCount(),
                                                "sha256",
                                                s.sha256()));
                            case StreamRecord.Lost l ->
                                Map.of("lost", Map.of("ticket", l.requestId(), "why", l.reason()));
                        })
                + "\n";
    }

    private void line(final byte[] bytes) {
        switch (JsonDocument.parse(bytes, most)) {
            case JsonDocument.ParseResult.Invalid bad -> wrong("a line that is no JSON object");
            case JsonDocument.ParseResult.Valid good -> {
                final JsonDocument s = good.document();
                if (s.has("seal")) {
                    final JsonDocument x = s.object("seal");
                    final StreamRecord.Trailer seal = new StreamRecord.Trailer(
                            x.string("worker", 256),
                            x.string("ticket", 256),
                            x.string("run", 256),
                            x.integer("count", 0, Integer.MAX_VALUE),
                            x.string("sha256", 64));
                    give(s, seal);
                } else {
                    give(
                            s,
                            new StreamRecord.Chunk(
                                    s.string("ticket", 256),
                                    s.string("run", 256),
                                    s.integer("number", 0, Integer.MAX_VALUE),
                                    s.string("text", most)));
                }
            }
        }
    }

    private void give(final JsonDocument s, final StreamRecord line) {
        if (s.faults().isEmpty()) {
            sink.accept(line);
        } else {
            wrong(s.faults().get(0));
        }
    }

    private void wrong(final String why) {
        broken = true;
        sink.accept(new StreamRecord.Lost("", why));
    }
}
