package silverlatch.dispatch;

import java.util.List;
import silverlatch.util.Digests;

/** Salts digests of prompt prefixes for each tenant, so that they reveal nothing about the prompts of other tenants. */
final class PrefixDigests {
    private static final int HEX_DIGITS = 12;

    private PrefixDigests() {}

    /** Returns a client's digests, each hashed with its tenant's salt to 48 bits, in the same order. */
    static List<Long> salted(final String salt, final List<String> digests) {
        return digests.stream().map(digest -> salted(salt, digest)).toList();
    }

    private static long salted(final String salt, final String digest) {
        return Long.parseUnsignedLong(Digests.sha256Hex(salt + "|" + digest).substring(0, HEX_DIGITS), 16);
    }
}
