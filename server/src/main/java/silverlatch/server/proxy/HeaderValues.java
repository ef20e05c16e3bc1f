package silverlatch.server.proxy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import silverlatch.routing.RoutedRequest;
import silverlatch.routing.Router;

/** Parses the values of the proxy's header fields; a value that can't be parsed is treated as absent. */
final class HeaderValues {
    private static final int MAX_PROMPT_PARTS = 256;
    private static final int LOAD_COUNT_FIELDS = 3;
    private static final long MAX_LOAD_COUNT = 999_999;
    private static final long FNV_OFFSET_BASIS = 0xCBF29CE484222325L;
    private static final long FNV_PRIME = 0x100000001B3L;

    private HeaderValues() {}

    /**
     * Parses the parts of a prompt, {@code ID:TOKENS} separated by commas. Skips parts that can't be parsed, and all after the
     * first 256 valid ones.
     */
    static List<RoutedRequest.PromptPart> promptParts(final String text) {
        final List<RoutedRequest.PromptPart> parts = new ArrayList<>();
        for (final String item : text.split(",")) {
            final int colon = item.indexOf(':');
            if (colon > 0 && parts.size() < MAX_PROMPT_PARTS) {
                final long digest = fnv1a(item.substring(0, colon).strip());
                nonNegativeInteger(item.substring(colon + 1))
                        .filter(tokens -> tokens <= Integer.MAX_VALUE)
                        .ifPresent(tokens -> parts.add(new RoutedRequest.PromptPart(digest, tokens.intValue())));
            }
        }
        return parts;
    }

    /** Parses a worker's load: the numbers of running requests, queued requests and slots, separated by commas. */
    static Optional<Router.ReportedLoad> workerLoad(final String text) {
        final String[] items = text.split(",");
        if (items.length != LOAD_COUNT_FIELDS) {
            return Optional.empty();
        }
        final List<Integer> counts = Arrays.stream(items)
                .map(HeaderValues::nonNegativeInteger)
                .flatMap(Optional::stream)
                .filter(count -> count <= MAX_LOAD_COUNT)
                .map(Long::intValue)
                .toList();
        return counts.size() == LOAD_COUNT_FIELDS
                ? Optional.of(new Router.ReportedLoad(counts.get(0), counts.get(1), counts.get(2)))
                : Optional.empty();
    }

    /** Parses a non-negative integer of at most 15 digits, so that it fits a long. */
    static Optional<Long> nonNegativeInteger(final String text) {
        final String digits = text.strip();
        return digits.matches("\\d{1,15}") ? Optional.of(Long.parseLong(digits)) : Optional.empty();
    }

    /** Returns the 64-bit FNV-1a hash of a text, computed over its UTF-16 code units. */
    private static long fnv1a(final String text) {
        long hash = FNV_OFFSET_BASIS;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        return hash;
    }
}
