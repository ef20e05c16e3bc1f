package silverlatch.server.proxy;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import silverlatch.routing.RoutedRequest;
import silverlatch.routing.Router;

/**
 * The names of the header fields of the proxy, towards clients and towards workers.
 *
 * @param requestId      the client's id of one attempt, which the worker echoes
 * @param deadline       how many milliseconds the client waits
 * @param promptParts          the parts of the prompt as ID:TOKENS, separated by commas, the ID in hexadecimal digits
 * @param tokenCounts         the tokens of the prompt, and the most of the response
 * @param seal           the worker's own seal on a response
 * @param expectedWorker the worker that a request is for
 * @param workerLoad           a worker's running requests, waiting requests and slots
 * @param notExecuted    says that a worker did not execute the request
 * @param priority           how urgent a request is; 0 comes first
 */
public record ProxyHeaderNames(
        String requestId,
        String deadline,
        String promptParts,
        String tokenCounts,
        String seal,
        String expectedWorker,
        String workerLoad,
        String notExecuted,
        String priority) {
    /** The product's own names. */
    public static final ProxyHeaderNames DEFAULT = new ProxyHeaderNames(
            "Silverlatch-Ticket",
            "Silverlatch-Expiry-Ms",
            "Silverlatch-Parts",
            "Silverlatch-Tokens",
            "Silverlatch-Seal",
            "Silverlatch-Worker",
            "Silverlatch-Load",
            "Silverlatch-Not-Run",
            "Silverlatch-Rank");

    private static final int MAX_PARTS = 256;

    /** The names that the proxy sets itself on what it sends to a worker; letter case does not matter. */
    Set<String> namesSetByProxy() {
        final Set<String> set = new TreeSet<>(String.CASE_INSENSITIVE_ORDER);
        set.addAll(List.of(deadline, expectedWorker, priority));
        return set;
    }

    /** Reads the parts of a prompt; what can't be read is left out. */
    static List<RoutedRequest.PromptPart> promptParts(final Optional<String> text) {
        final List<RoutedRequest.PromptPart> list = new java.util.ArrayList<>();
        for (final String item : text.orElse("").split(",")) {
            final int colon = item.indexOf(':');
            if (colon > 0 && list.size() < MAX_PARTS) {
                final String name = item.substring(0, colon).strip();
                final Optional<Long> tokens = nonNegativeInteger(item.substring(colon + 1));
                tokens.filter(count -> count <= Integer.MAX_VALUE)
                        .ifPresent(count -> list.add(new RoutedRequest.PromptPart(hash(name), count.intValue())));
            }
        }
        return list;
    }

    /** Reads a load. */
    static Optional<Router.ReportedLoad> workerLoad(final Optional<String> text) {
        final String[] items = text.orElse("").split(",");
        if (items.length != 3) {
            return Optional.empty();
        }
        final List<Long> counts = java.util.Arrays.stream(items)
                .map(ProxyHeaderNames::nonNegativeInteger)
                .flatMap(Optional::stream)
                .filter(count -> count < 1_000_000)
                .toList();
        return counts.size() == 3
                ? Optional.of(new Router.ReportedLoad(
                        counts.get(0).intValue(),
                        counts.get(1).intValue(),
                        counts.get(2).intValue()))
                : Optional.empty();
    }

    /** A whole number that is not negative. */
    static Optional<Long> nonNegativeInteger(final String text) {
        final String digits = text.strip();
        return digits.matches("\\d{1,15}") ? Optional.of(Long.parseLong(digits)) : Optional.empty();
    }

    private static long hash(final String text) {
        long hash = 0xCBF29CE484222325L;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * 0x100000001B3L;
        }
        return hash;
    }
}
