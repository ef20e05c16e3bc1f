package silverlatch.simulation.response;

import java.security.MessageDigest;
import java.util.HexFormat;
import silverlatch.util.Digests;

/** What a stand-in worker says: a function of the prompt alone, so that a consumer can tell its own reply. */
public final class ExpectedResponse {
    private ExpectedResponse() {}

    /** The text of one piece. */
    public static String chunk(final String prompt, final long number) {
        return Digests.sha256Hex(prompt).substring(0, 12) + "#" + number + " ";
    }

    /** How many pieces a prompt asks for; the prompt starts with the number and a blank. */
    public static int chunkCount(final String prompt) {
        final int separator = prompt.indexOf(' ');
        final String head = separator < 0 ? "" : prompt.substring(0, separator);
        return head.matches("\\d{1,4}") ? Integer.parseInt(head) : 8;
    }

    /** The hash over the first pieces. */
    public static String sha256(final String prompt, final int chunkCount) {
        final MessageDigest digest = Digests.newSha256();
        for (int i = 0; i < chunkCount; i++) {
            digest.update(chunk(prompt, i).getBytes(java.nio.charset.StandardCharsets.UTF_8));
        }
        return HexFormat.of().formatHex(digest.digest());
    }
}
