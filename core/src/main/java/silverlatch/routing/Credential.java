package silverlatch.routing;

/** What a request says of who sends it, without the key itself, which stays outside of the router. Immutable. */
public sealed interface Credential {
    /** The request names no key. */
    record None() implements Credential {}

    /**
     * The request names one key.
     *
     * @param digest the SHA-256 of the key, in hexadecimal
     */
    record Key(String digest) implements Credential {
        /** Leaves the digest out, as short keys can be guessed from it. */
        @Override
        public String toString() {
            return "Key";
        }
    }

    /** The request names several keys, or something that is no key. */
    record Invalid() implements Credential {}
}
