package silverlatch.simulation.response;

import java.security.MessageDigest;
import java.util.HexFormat;
import silverlatch.util.Digests;

/** The response of a simulated worker: a function of the prompt alone, so that a client can verify that it got its own. */
public final class ExpectedResponse {
    private ExpectedResponse() {}

    /** Returns the text of a chunk. */
    public static String chunk(final String prompt, final long number) {
        return Digests.sha256Hex(prompt).substring(0, 12) + "#" + number + " ";
    }

    /** Returns the number of chunks that a prompt requests by starting with the number and a space; 8 without a number. */
    public static int chunkCount(final String prompt) {
        final int separator = prompt.indexOf(' ');
        final String head = separator < 0 ? "" : prompt.substring(0, separator);
        return head.matches("\\d{1,4}") ? Integer.parseInt(head) : 8;
    }

    /** Returns the hex SHA-256 digest of the text of the first chunks. */
    public static String sha256(final String prompt, final int chunkCount) {
        final MessageDigest digest = Digests.newSha256();
        for (int i = 0; i < chunkCount; i++) {
            digest.update(chunk(prompt, i).getBytes(java.nio.charset.StandardCharsets.UTF_8));
        }
        return HexFormat.of().formatHex(digest.digest());
    }
}
