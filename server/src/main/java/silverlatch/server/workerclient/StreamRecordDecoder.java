package silverlatch.server.workerclient;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import silverlatch.dispatch.StreamRecord;
import silverlatch.json.JsonDocument;

/**
 * Splits the body of a worker's response into lines and parses each as a record of the stream (docs/worker-format.md). At the
 * first line that is too long or is not a valid record, it emits one {@link StreamRecord.Lost} with the reason and ignores the
 * rest. Must be used by one thread at a time.
 */
public final class StreamRecordDecoder {
    private static final int MAX_ID_LENGTH = 256;
    private static final int SHA256_LENGTH = 64;
    private final int maxLineBytes;
    private final Consumer<StreamRecord> recordConsumer;
    private final ByteArrayOutputStream partialLine = new ByteArrayOutputStream();
    private boolean failed;

    /** Creates a decoder with a maximum line length in bytes; the consumer is called from within {@link #decode}. */
    public StreamRecordDecoder(final int maxLineBytes, final Consumer<StreamRecord> recordConsumer) {
        this.maxLineBytes = maxLineBytes;
        this.recordConsumer = recordConsumer;
    }

    /** Decodes the buffer to its end; an incomplete line is kept for the next call. */
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

    private void decodeLine(final byte[] line) {
        switch (JsonDocument.parse(line, maxLineBytes)) {
            case JsonDocument.ParseResult.Invalid invalid -> fail("a line that is no JSON object");
            case JsonDocument.ParseResult.Valid valid -> decodeRecord(valid.document());
        }
    }

    private void decodeRecord(final JsonDocument document) {
        final StreamRecord record =
                document.has("seal") ? trailer(document.object("seal")) : chunk(document, maxLineBytes);
        if (document.faults().isEmpty()) {
            recordConsumer.accept(record);
        } else {
            fail(document.faults().get(0));
        }
    }

    private static StreamRecord trailer(final JsonDocument seal) {
        return new StreamRecord.Trailer(
                seal.string("worker", MAX_ID_LENGTH),
                seal.string("ticket", MAX_ID_LENGTH),
                seal.string("run", MAX_ID_LENGTH),
                seal.integer("count", 0, Integer.MAX_VALUE),
                seal.string("sha256", SHA256_LENGTH));
    }

    private static StreamRecord chunk(final JsonDocument document, final int maxTextLength) {
        return new StreamRecord.Chunk(
                document.string("ticket", MAX_ID_LENGTH),
                document.string("run", MAX_ID_LENGTH),
                document.integer("number", 0, Integer.MAX_VALUE),
                document.string("text", maxTextLength));
    }

    private void fail(final String reason) {
        failed = true;
        recordConsumer.accept(new StreamRecord.Lost("", reason));
    }
}
