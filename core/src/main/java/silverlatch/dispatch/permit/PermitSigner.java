package silverlatch.dispatch.permit;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Base64;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import silverlatch.clock.Stamp;

/**
 * Signs permits with HMAC-SHA-256 under the cluster's key, and verifies them. The static methods are the digests that the
 * product uses. Immutable.
 */
public final class PermitSigner {
    private static final String SEPARATOR = "|";
    private final byte[] clusterKey;

    /** A signer with the cluster's key. */
    public PermitSigner(final String clusterKey) {
        this.clusterKey = clusterKey.getBytes(StandardCharsets.UTF_8);
    }

    /** The permit as text with its signature: two base64url parts and a dot between them. */
    public String sign(final Permit permit) {
        final String body = Base64.getUrlEncoder()
                .withoutPadding()
                .encodeToString(String.join(
                                SEPARATOR,
                                permit.requestId(),
                                permit.tenant(),
                                permit.kind(),
                                permit.worker(),
                                permit.gateway(),
                                "" + permit.incarnation(),
                                "" + permit.revision(),
                                "" + permit.timestamp().bits(),
                                "" + permit.expiry(),
                                HexFormat.of().formatHex(permit.idempotencyKey().getBytes(StandardCharsets.UTF_8)))
                        .getBytes(StandardCharsets.UTF_8));
        return body + "." + Base64.getUrlEncoder().withoutPadding().encodeToString(mac(body));
    }

    /** The permit, if the text was signed with the cluster's key. */
    public Optional<Permit> verify(final String text) {
        final int dot = text.indexOf('.');
        if (dot < 0 || text.length() > 4096) {
            return Optional.empty();
        }
        try {
            final String body = text.substring(0, dot);
            if (!MessageDigest.isEqual(mac(body), Base64.getUrlDecoder().decode(text.substring(dot + 1)))) {
                return Optional.empty();
            }
            final String[] fields =
                    new String(Base64.getUrlDecoder().decode(body), StandardCharsets.UTF_8).split("\\|", -1);
            return Optional.of(new Permit(
                    fields[0],
                    fields[1],
                    fields[2],
                    fields[3],
                    fields[4],
                    Long.parseLong(fields[5]),
                    Long.parseLong(fields[6]),
                    new Stamp(Long.parseLong(fields[7])),
                    Long.parseLong(fields[8]),
                    new String(HexFormat.of().parseHex(fields[9]), StandardCharsets.UTF_8)));
        } catch (final IllegalArgumentException malformed) {
            return Optional.empty();
        }
    }

    /** Whether two secrets are equal; the time it takes does not tell where they differ. */
    public static boolean constantTimeEquals(final String one, final String other) {
        return MessageDigest.isEqual(one.getBytes(StandardCharsets.UTF_8), other.getBytes(StandardCharsets.UTF_8));
    }

    /** SHA-256 of a text in UTF-8, in hexadecimal digits. */
    public static String sha256Hex(final String text) {
        return HexFormat.of().formatHex(newSha256().digest(text.getBytes(StandardCharsets.UTF_8)));
    }

    /** The first 48 bits of the SHA-256 of a prefix digest and its tenant's salt. */
    public static long saltedDigest(final String salt, final String text) {
        return Long.parseUnsignedLong(sha256Hex(salt + SEPARATOR + text).substring(0, 12), 16);
    }

    /** Prefix digests salted for their tenant, in the same order. */
    public static List<Long> saltedDigests(final String salt, final List<String> texts) {
        return texts.stream().map(text -> saltedDigest(salt, text)).toList();
    }

    /** A fresh SHA-256. */
    public static MessageDigest newSha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (final GeneralSecurityException missing) {
            throw new IllegalStateException("the JDK lacks an algorithm that each one has", missing);
        }
    }

    private byte[] mac(final String body) {
        try {
            final Mac mac = Mac.getInstance("HmacSHA256");
            mac.init(new SecretKeySpec(clusterKey, "HmacSHA256"));
            return mac.doFinal(body.getBytes(StandardCharsets.UTF_8));
        } catch (final GeneralSecurityException missing) {
            throw new IllegalStateException("the JDK lacks an algorithm that each one has", missing);
        }
    }
}
