package silverlatch.server.workerclient;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.function.Consumer;
import silverlatch.dispatch.StreamRecord;
import silverlatch.json.JsonDocument;

/** Cuts a worker's bytes into lines and reads each as a record of the stream; and writes records for consumers. */
public final class StreamRecordDecoder {
    private final int maxLineBytes;
    private final Consumer<StreamRecord> recordConsumer;
    private final ByteArrayOutputStream partialLine = new ByteArrayOutputStream();
    private boolean failed;

    /** Reads lines of at most so many bytes. */
    public StreamRecordDecoder(final int maxLineBytes, final Consumer<StreamRecord> recordConsumer) {
        this.maxLineBytes = maxLineBytes;
        this.recordConsumer = recordConsumer;
    }

    /** Takes bytes as they come. */
    public void decode(final ByteBuffer bytes) {
        while (bytes.hasRemaining() && !failed) {
            final byte nextByte = bytes.get();
            if (nextByte == '\n') {
                decodeLine(partialLine.toByteArray());
                partialLine.reset();
            } else if (partialLine.size() >= maxLineBytes) {
                fail("a line longer than " + maxLineBytes + " bytes");
            } else {
                partialLine.write(nextByte);
            }
        }
    }

    /** A record as a line of JSON. */
    public static String encode(final StreamRecord record) {
        return JsonDocument.write(
                        switch (record) {
                            case StreamRecord.Chunk piece ->
                                Map.of(
                                        "ticket",
                                        piece.requestId(),
                                        "run",
                                        piece.attemptId(),
                                        "number",
                                        piece.index(),
                                        "text",
                                        piece.text());
                            case StreamRecord.Trailer seal ->
                                Map.of(
                                        "seal",
                                        Map.of(
                                                "worker",
                                                seal.worker(),
                                                "ticket",
                                                seal.requestId(),
                                                "run",
                                                seal.attemptId(),
                                                "count",
                                                seal.chunkCount(),
                                                "sha256",
                                                seal.sha256()));
                            case StreamRecord.Lost lost ->
                                Map.of("lost", Map.of("ticket", lost.requestId(), "why", lost.reason()));
                        })
                + "\n";
    }

    private void decodeLine(final byte[] bytes) {
        switch (JsonDocument.parse(bytes, maxLineBytes)) {
            case JsonDocument.ParseResult.Invalid bad -> fail("a line that is no JSON object");
            case JsonDocument.ParseResult.Valid good -> {
                final JsonDocument document = good.document();
                if (document.has("seal")) {
                    final JsonDocument sealDocument = document.object("seal");
                    final StreamRecord.Trailer seal = new StreamRecord.Trailer(
                            sealDocument.string("worker", 256),
                            sealDocument.string("ticket", 256),
                            sealDocument.string("run", 256),
                            sealDocument.integer("count", 0, Integer.MAX_VALUE),
                            sealDocument.string("sha256", 64));
                    emit(document, seal);
                } else {
                    emit(
                            document,
                            new StreamRecord.Chunk(
                                    document.string("ticket", 256),
                                    document.string("run", 256),
                                    document.integer("number", 0, Integer.MAX_VALUE),
                                    document.string("text", maxLineBytes)));
                }
            }
        }
    }

    private void emit(final JsonDocument document, final StreamRecord record) {
        if (document.faults().isEmpty()) {
            recordConsumer.accept(record);
        } else {
            fail(document.faults().get(0));
        }
    }

    private void fail(final String reason) {
        failed = true;
        recordConsumer.accept(new StreamRecord.Lost("", reason));
    }
}
