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
 * Reads the key of a tenant from a request's Authorization fields (RFC 9110, section 11.6.2), whose scheme is the one for such keys.
 * Neither a key nor the text that it came in is kept. Any thread may call.
 */
final class ClientCredentials {
    private final String keyScheme;

    /** Reads keys that come with this scheme; letter case does not matter. */
    ClientCredentials(final String keyScheme) {
        this.keyScheme = keyScheme;
    }

    /** What a request says of who sends it. A key that is repeated is one key. */
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

    /** Whether a field holds a key, also where it holds other credentials besides, so that no worker may get it. */
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
