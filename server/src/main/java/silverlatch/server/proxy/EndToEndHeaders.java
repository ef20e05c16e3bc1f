package silverlatch.server.proxy;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;

/**
 * Copies the header fields that a proxy forwards: all but the hop-by-hop fields (RFC 9110, section 7.6.1), Content-Length and
 * Expect.
 */
final class EndToEndHeaders {
    private static final Set<String> HOP_BY_HOP = ignoringCase(List.of(
            "Connection",
            "Keep-Alive",
            "Transfer-Encoding",
            "TE",
            "Trailer",
            "Upgrade",
            "Proxy-Connection",
            "Proxy-Authenticate",
            "Proxy-Authorization",
            "Content-Length",
            "Expect"));

    private EndToEndHeaders() {}

    /** Adds the forwarded fields to the target, without those that the caller excludes and those that Connection lists. */
    static void copy(final HttpFields from, final Predicate<HttpField> isExcluded, final HttpFields.Mutable to) {
        final Set<String> namedByConnection = ignoringCase(from.getCSV(HttpHeader.CONNECTION, false));
        for (final HttpField field : from) {
            final String name = field.getName();
            if (!HOP_BY_HOP.contains(name) && !namedByConnection.contains(name) && !isExcluded.test(field)) {
                to.add(name, field.getValue());
            }
        }
    }

    private static Set<String> ignoringCase(final List<String> names) {
        final Set<String> set = new TreeSet<>(String.CASE_INSENSITIVE_ORDER);
        set.addAll(names);
        return set;
    }
}
