package silverlatch.util;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.HexFormat;

/** SHA-256 digests of strings, and comparison of secrets. */
public final class Digests {
    private Digests() {}

    /** Returns the SHA-256 of a string in UTF-8, as hexadecimal digits. */
    public static String sha256Hex(final String text) {
        return HexFormat.of().formatHex(newSha256().digest(text.getBytes(StandardCharsets.UTF_8)));
    }

    /** Returns a new SHA-256 digest without any input. */
    public static MessageDigest newSha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (final GeneralSecurityException missing) {
            throw new IllegalStateException(
                    "SHA-256 is not available, although every Java platform must provide it", missing);
        }
    }

    /** Returns whether two secrets are equal, in a time that doesn't depend on where they differ. */
    public static boolean constantTimeEquals(final String one, final String other) {
        return MessageDigest.isEqual(one.getBytes(StandardCharsets.UTF_8), other.getBytes(StandardCharsets.UTF_8));
    }
}
