package silverlatch.dispatch;

import java.util.List;
import silverlatch.util.Digests;

/** Digests of prompt prefixes, salted for their tenant so that tenants can't learn of each other's prompts by them. */
final class PrefixDigests {
    private static final int HEX_DIGITS = 12;

    private PrefixDigests() {}

    /** The digests that a client sent, each hashed with its tenant's salt to 48 bits, in the same order. */
    static List<Long> salted(final String salt, final List<String> digests) {
        return digests.stream().map(digest -> salted(salt, digest)).toList();
    }

    private static long salted(final String salt, final String digest) {
        return Long.parseUnsignedLong(Digests.sha256Hex(salt + "|" + digest).substring(0, HEX_DIGITS), 16);
    }
}
