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

/**
 * Signs permits with HMAC-SHA-256 under the cluster's key, and verifies them. Immutable.
 */
public final class PermitSigner {
    private static final String SEPARATOR = "|";
    private final byte[] clusterKey;

    /** Creates a signer with the cluster's key. */
    public PermitSigner(final String clusterKey) {
        this.clusterKey = clusterKey.getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the permit and its signature as text: two base64url parts, separated by a dot. */
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

    /** Returns the permit of a text, or empty if the text is malformed or wasn't signed with the cluster's key. */
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

    private byte[] mac(final String body) {
        try {
            final Mac mac = Mac.getInstance("HmacSHA256");
            mac.init(new SecretKeySpec(clusterKey, "HmacSHA256"));
            return mac.doFinal(body.getBytes(StandardCharsets.UTF_8));
        } catch (final GeneralSecurityException unsupported) {
            throw new IllegalStateException(
                    "this Java runtime cannot compute HmacSHA256, which every Java runtime has to support",
                    unsupported);
        }
    }
}
