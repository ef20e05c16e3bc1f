package silverlatch.server.proxy;

import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import silverlatch.routing.Credential;
import silverlatch.util.Digests;

/**
 * Reads a tenant's key from the Authorization fields of a request (RFC 9110, section 11.6.2) that use the configured scheme.
 * Stores neither keys nor field values; the result holds only the SHA-256 digest of the key. Thread-safe.
 */
final class ClientCredentials {
    private final String keyScheme;

    /** Creates a reader of keys that are sent with this authorization scheme, compared case-insensitively. */
    ClientCredentials(final String keyScheme) {
        this.keyScheme = keyScheme;
    }

    /**
     * Returns the credential of a request: none without an Authorization field, the digest of its key if all fields hold the same
     * key, and invalid if a field holds no key or if the keys differ.
     */
    Credential read(final HttpFields headers) {
        final List<String> values = headers.getValuesList(HttpHeader.AUTHORIZATION);
        if (values.isEmpty()) {
            return new Credential.None();
        }
        final Set<String> digests = new HashSet<>();
        for (final String value : values) {
            final Optional<String> key = key(value);
            if (key.isEmpty()) {
                return new Credential.Invalid();
            }
            digests.add(Digests.sha256Hex(key.get()));
        }
        return digests.size() == 1 ? new Credential.Key(digests.iterator().next()) : new Credential.Invalid();
    }

    /**
     * Returns whether a field contains a tenant's key, also as one of several comma-separated credentials. Such a field must not
     * be forwarded to a worker.
     */
    boolean containsKey(final HttpField field) {
        return HttpHeader.AUTHORIZATION.is(field.getName())
                && field.getValue() != null
                && Arrays.stream(field.getValue().split(",")).anyMatch(this::hasKeyScheme);
    }

    private Optional<String> key(final String value) {
        return hasKeyScheme(value)
                ? Optional.of(value.strip().substring(keyScheme.length()).strip())
                        .filter(key -> !key.isEmpty())
                : Optional.empty();
    }

    private boolean hasKeyScheme(final String credentials) {
        final String text = credentials.strip();
        final int length = keyScheme.length();
        return text.regionMatches(true, 0, keyScheme, 0, length)
                && (text.length() == length || Character.isWhitespace(text.charAt(length)));
    }
}
