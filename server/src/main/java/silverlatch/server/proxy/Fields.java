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
 * @param attemptId      the client's id of one attempt, which the worker echoes
 * @param deadline       how many milliseconds the client waits
 * @param parts          the parts of the prompt as ID:TOKENS, separated by commas, the ID in hexadecimal digits
 * @param tokens         the tokens of the prompt, and the most of the response
 * @param seal           the worker's own seal on a response
 * @param expectedWorker the worker that a request is for
 * @param load           a worker's running requests, waiting requests and slots
 * @param notExecuted    says that a worker did not execute the request
 * @param rank           how urgent a request is; 0 comes first
 */
public record Fields(
        String attemptId,
        String deadline,
        String parts,
        String tokens,
        String seal,
        String expectedWorker,
        String load,
        String notExecuted,
        String rank) {
    /** The product's own names. */
    public static final Fields PLAIN = new Fields(
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
    Set<String> own() {
        final Set<String> set = new TreeSet<>(String.CASE_INSENSITIVE_ORDER);
        set.addAll(List.of(deadline, expectedWorker, rank));
        return set;
    }

    /** Reads the parts of a prompt; what can't be read is left out. */
    static List<RoutedRequest.PromptPart> parts(final Optional<String> text) {
        final List<RoutedRequest.PromptPart> list = new java.util.ArrayList<>();
        for (final String one : text.orElse("").split(",")) {
            final int colon = one.indexOf(':');
            if (colon > 0 && list.size() < MAX_PARTS) {
                final String name = one.substring(0, colon).strip();
                final Optional<Long> tokens = whole(one.substring(colon + 1));
                tokens.filter(t -> t <= Integer.MAX_VALUE)
                        .ifPresent(t -> list.add(new RoutedRequest.PromptPart(name(name), t.intValue())));
            }
        }
        return list;
    }

    /** Reads a load. */
    static Optional<Router.ReportedLoad> load(final Optional<String> text) {
        final String[] part = text.orElse("").split(",");
        if (part.length != 3) {
            return Optional.empty();
        }
        final List<Long> all = java.util.Arrays.stream(part)
                .map(Fields::whole)
                .flatMap(Optional::stream)
                .filter(n -> n < 1_000_000)
                .toList();
        return all.size() == 3
                ? Optional.of(new Router.ReportedLoad(
                        all.get(0).intValue(), all.get(1).intValue(), all.get(2).intValue()))
                : Optional.empty();
    }

    /** A whole number that is not negative. */
    static Optional<Long> whole(final String text) {
        final String t = text.strip();
        return t.matches("\\d{1,15}") ? Optional.of(Long.parseLong(t)) : Optional.empty();
    }

    private static long name(final String text) {
        long sum = 0xCBF29CE484222325L;
        for (int i = 0; i < text.length(); i++) {
            sum = (sum ^ text.charAt(i)) * 0x100000001B3L;
        }
        return sum;
    }
}
