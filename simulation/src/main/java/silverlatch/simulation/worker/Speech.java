package silverlatch.simulation.worker;

import java.security.MessageDigest;
import java.util.HexFormat;
import silverlatch.dispatch.permit.PermitSigner;

/** What a stand-in worker says: a function of the prompt alone, so that a consumer can tell its own reply. */
public final class Speech {
    private Speech() {}

    /** The text of one piece. */
    public static String piece(final String prompt, final long number) {
        return PermitSigner.sha256Hex(prompt).substring(0, 12) + "#" + number + " ";
    }

    /** How many pieces a prompt asks for; the prompt starts with the number and a blank. */
    public static int count(final String prompt) {
        final int blank = prompt.indexOf(' ');
        final String head = blank < 0 ? "" : prompt.substring(0, blank);
        return head.matches("\\d{1,4}") ? Integer.parseInt(head) : 8;
    }

    /** The hash over the first pieces. */
    public static String sha(final String prompt, final int count) {
        final MessageDigest sum = PermitSigner.newSha256();
        for (int i = 0; i < count; i++) {
            sum.update(piece(prompt, i).getBytes(java.nio.charset.StandardCharsets.UTF_8));
        }
        return HexFormat.of().formatHex(sum.digest());
    }
}
