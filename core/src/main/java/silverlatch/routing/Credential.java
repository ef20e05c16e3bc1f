package silverlatch.routing;

/** The credential of a request, without the key itself, which the router never sees. Immutable. */
public sealed interface Credential {
    /** The request has no key. */
    record None() implements Credential {}

    /**
     * The request has one key.
     *
     * @param digest the SHA-256 digest of the key, in hexadecimal
     */
    record Key(String digest) implements Credential {
        /** Omits the digest, as short keys can be guessed from it. */
        @Override
        public String toString() {
            return "Key";
        }
    }

    /** The request has several keys, or a credential that is not a key. */
    record Invalid() implements Credential {}
}
