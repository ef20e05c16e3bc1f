package silverlatch.dispatch;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import silverlatch.util.Digests;

/**
 * Buffers the records of one response in the order of their arrival, and computes the digest that the worker's trailer has to
 * match. All records are kept for clients that reconnect. Used only by the dispatch event loop.
 */
final class ResponseStream {
    private final List<StreamRecord> records = new ArrayList<>();
    private final MessageDigest digest = Digests.newSha256();
    private long bytes;

    /** Appends a chunk to the response. */
    void append(final StreamRecord.Chunk chunk) {
        final byte[] text = chunk.text().getBytes(StandardCharsets.UTF_8);
        records.add(chunk);
        digest.update(text);
        bytes += text.length;
    }

    /** Appends the last record, a trailer or a lost record. */
    void end(final StreamRecord last) {
        records.add(last);
    }

    /** Returns the number of records. */
    int size() {
        return records.size();
    }

    /** Returns the size of the text of all chunks, in bytes of UTF-8. */
    long bytes() {
        return bytes;
    }

    /** Returns a view of the records from index {@code from}, inclusive, to index {@code to}, exclusive. */
    List<StreamRecord> records(final int from, final int to) {
        return records.subList(from, to);
    }

    /** Returns the SHA-256 digest of the text of the chunks received so far, in hexadecimal digits. */
    String sha256() {
        try {
            return HexFormat.of().formatHex(((MessageDigest) digest.clone()).digest());
        } catch (final CloneNotSupportedException unsupported) {
            throw new IllegalStateException(
                    "the SHA-256 implementation of this Java runtime does not support clone()", unsupported);
        }
    }
}
