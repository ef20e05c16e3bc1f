package silverlatch.util;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.HexFormat;

/** SHA-256 of texts, and the comparison of secrets. */
public final class Digests {
    private Digests() {}

    /** SHA-256 of a text in UTF-8, in hexadecimal digits. */
    public static String sha256Hex(final String text) {
        return HexFormat.of().formatHex(newSha256().digest(text.getBytes(StandardCharsets.UTF_8)));
    }

    /** A SHA-256 that has taken nothing yet. */
    public static MessageDigest newSha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (final GeneralSecurityException missing) {
            throw new IllegalStateException("the JDK lacks an algorithm that each one has", missing);
        }
    }

    /** Whether two secrets are equal; the time it takes does not tell where they differ. */
    public static boolean constantTimeEquals(final String one, final String other) {
        return MessageDigest.isEqual(one.getBytes(StandardCharsets.UTF_8), other.getBytes(StandardCharsets.UTF_8));
    }
}
