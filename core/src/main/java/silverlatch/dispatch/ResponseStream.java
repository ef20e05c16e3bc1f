package silverlatch.dispatch;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import silverlatch.util.Digests;

/**
 * The records of one response in the order in which they came, and the running digest that the worker's trailer has to
 * match. It is kept whole for clients that come back. Owned by the dispatch event loop.
 */
final class ResponseStream {
    private final List<StreamRecord> records = new ArrayList<>();
    private final MessageDigest digest = Digests.newSha256();
    private long bytes;

    /** Adds a chunk to the response. */
    void append(final StreamRecord.Chunk chunk) {
        final byte[] text = chunk.text().getBytes(StandardCharsets.UTF_8);
        records.add(chunk);
        digest.update(text);
        bytes += text.length;
    }

    /** Adds the record after which nothing follows. */
    void end(final StreamRecord last) {
        records.add(last);
    }

    /** How many records there are. */
    int size() {
        return records.size();
    }

    /** Bytes of text in the chunks. */
    long bytes() {
        return bytes;
    }

    /** A view of the records from the first index up to and without the second. */
    List<StreamRecord> records(final int from, final int to) {
        return records.subList(from, to);
    }

    /** SHA-256 of the chunks so far, in hexadecimal digits. */
    String sha256() {
        try {
            return HexFormat.of().formatHex(((MessageDigest) digest.clone()).digest());
        } catch (final CloneNotSupportedException unsupported) {
            throw new IllegalStateException("SHA-256 can't be cloned", unsupported);
        }
    }
}
