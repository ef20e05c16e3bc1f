package silverlatch.dispatch.permit;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Base64;
import java.util.HexFormat;
import java.util.Optional;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import silverlatch.clock.Stamp;

/** Seals permits with the cluster's key, and makes the hashes the product uses. */
public final class Seals {
    private static final String BAR = "|";
    private final byte[] key;

    /** Seals made with the cluster's key. */
    public Seals(final String key) {
        this.key = key.getBytes(StandardCharsets.UTF_8);
    }

    /** The permit as text, with its seal. */
    public String write(final Permit p) {
        final String body = Base64.getUrlEncoder()
                .withoutPadding()
                .encodeToString(String.join(
                                BAR,
                                p.ticket(),
                                p.tenant(),
                                p.kind(),
                                p.worker(),
                                p.carrier(),
                                "" + p.life(),
                                "" + p.page(),
                                "" + p.stamp().bits(),
                                "" + p.expiry(),
                                HexFormat.of().formatHex(p.key().getBytes(StandardCharsets.UTF_8)))
                        .getBytes(StandardCharsets.UTF_8));
        return body + "." + Base64.getUrlEncoder().withoutPadding().encodeToString(mac(body));
    }

    /** The permit, if the text bears our seal. */
    public Optional<Permit> read(final String text) {
        final int dot = text.indexOf('.');
        if (dot < 0 || text.length() > 4096) {
            return Optional.empty();
        }
        try {
            final String body = text.substring(0, dot);
            if (!MessageDigest.isEqual(mac(body), Base64.getUrlDecoder().decode(text.substring(dot + 1)))) {
                return Optional.empty();
            }
            final String[] f = new String(Base64.getUrlDecoder().decode(body), StandardCharsets.UTF_8).split("\\|", -1);
            return Optional.of(new Permit(
                    f[0],
                    f[1],
                    f[2],
                    f[3],
                    f[4],
                    Long.parseLong(f[5]),
                    Long.parseLong(f[6]),
                    new Stamp(Long.parseLong(f[7])),
                    Long.parseLong(f[8]),
                    new String(HexFormat.of().parseHex(f[9]), StandardCharsets.UTF_8)));
        } catch (final IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    /** Whether two secrets are the same, without telling by time where they differ. */
    public static boolean same(final String one, final String other) {
        return MessageDigest.isEqual(one.getBytes(StandardCharsets.UTF_8), other.getBytes(StandardCharsets.UTF_8));
    }

    /** SHA-256 of a text in hexadecimal digits. */
    public static String hash(final String text) {
        return HexFormat.of().formatHex(digest().digest(text.getBytes(StandardCharsets.UTF_8)));
    }

    /** A prefix digest salted for its tenant. */
    public static long salted(final String salt, final String text) {
        return Long.parseUnsignedLong(hash(salt + BAR + text).substring(0, 12), 16);
    }

    /** A fresh SHA-256. */
    public static MessageDigest digest() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (final GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }

    private byte[] mac(final String body) {
        try {
            final Mac mac = Mac.getInstance("HmacSHA256");
            mac.init(new SecretKeySpec(key, "HmacSHA256"));
            return mac.doFinal(body.getBytes(StandardCharsets.UTF_8));
        } catch (final GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }
}
