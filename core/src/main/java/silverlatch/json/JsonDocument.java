package silverlatch.json;

import io.avaje.jsonb.Jsonb;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** A JSON object being read and checked: each fault is noted with its path, and reading goes on to find the rest. */
public final class JsonDocument {
    private static final Jsonb JSON = Jsonb.builder().build();
    private static final int MAX_DEPTH = 12;
    private final String path;
    private final Map<?, ?> fields;
    private final List<String> faults;
    private final Set<String> readKeys = new HashSet<>();

    private JsonDocument(final String path, final Map<?, ?> fields, final List<String> faults) {
        this.path = path;
        this.fields = fields;
        this.faults = faults;
    }

    /** What parsing gave. */
    public sealed interface ParseResult {
        /** An object to read. */
        record Valid(JsonDocument document) implements ParseResult {}

        /** Not one: the HTTP-like code and why. */
        record Invalid(int code, String reason) implements ParseResult {}
    }

    /** Parses an object of at most so many bytes. */
    public static ParseResult parse(final byte[] body, final int maxBytes) {
        if (body.length > maxBytes) {
            return new ParseResult.Invalid(413, "$: larger than " + maxBytes + " bytes");
        }
        switch (JsonSyntax.check(body, MAX_DEPTH)) {
            case TOO_DEEP -> {
                return new ParseResult.Invalid(422, "$: deeper than " + MAX_DEPTH + " levels");
            }
            case INVALID -> {
                return new ParseResult.Invalid(400, "$: not JSON");
            }
            case VALID -> {}
        }
        try {
            final Object root = JSON.type(Object.class)
                    .fromJson(StandardCharsets.UTF_8
                            .newDecoder()
                            .decode(ByteBuffer.wrap(body))
                            .toString());
            return root instanceof Map<?, ?> map
                    ? new ParseResult.Valid(new JsonDocument("$", map, new ArrayList<>()))
                    : new ParseResult.Invalid(400, "$: an object is needed");
        } catch (final CharacterCodingException e) {
            return new ParseResult.Invalid(400, "$: not UTF-8");
        } catch (final RuntimeException e) {
            return new ParseResult.Invalid(400, "$: not JSON");
        }
    }

    /** The text of a value made of maps, lists, strings, numbers and flags. */
    public static String write(final Object value) {
        return JSON.type(Object.class).toJson(value);
    }

    /** The same sheet with some fields put in place of its own. */
    public JsonDocument with(final Map<String, Object> replacements) {
        final Map<Object, Object> merged = new java.util.LinkedHashMap<>(fields);
        merged.putAll(replacements);
        return new JsonDocument(path, merged, faults);
    }

    /** A sheet without any field. */
    public static JsonDocument empty() {
        return new JsonDocument("$", Map.of(), new ArrayList<>());
    }

    /** The fields as they stand. */
    public Map<String, Object> asMap() {
        final Map<String, Object> copy = new java.util.LinkedHashMap<>();
        fields.forEach((k, v) ->
                copy.put(String.valueOf(k), Optional.<Object>ofNullable(v).orElse("")));
        return copy;
    }

    /** All faults found so far, also in the parts. */
    public List<String> faults() {
        return List.copyOf(faults);
    }

    /** Notes every key that was not asked for, and gives all faults. */
    public List<String> finish() {
        fields.keySet().stream()
                .map(String::valueOf)
                .filter(k -> !readKeys.contains(k))
                .sorted()
                .forEach(k -> faults.add(path + "." + k + ": unknown key"));
        return faults();
    }

    /** Whether a key is there. */
    public boolean has(final String key) {
        return value(key).isPresent();
    }

    /** Notes a fault of a key. */
    public void addFault(final String key, final String reason) {
        faults.add(path + "." + key + ": " + reason);
    }

    /** Notes a key that isn't there. */
    public void require(final String key) {
        if (!has(key)) {
            addFault(key, "missing");
        }
    }

    /** A text of at most so many characters. */
    public String string(final String key, final int maxLength) {
        return value(key)
                .map(value -> string(path + "." + key, value, maxLength))
                .orElseGet(() -> missing(key, ""));
    }

    /** A text, or what holds when there is none. */
    public String string(final String key, final int maxLength, final String fallback) {
        return value(key)
                .map(value -> string(path + "." + key, value, maxLength))
                .orElse(fallback);
    }

    /** A whole number within bounds. */
    public long integer(final String key, final long minimum, final long maximum) {
        return value(key).map(value -> integer(key, value, minimum, maximum)).orElseGet(() -> missing(key, minimum));
    }

    /** A whole number, or what holds when there is none. */
    public long integer(final String key, final long minimum, final long maximum, final long fallback) {
        return value(key).map(value -> integer(key, value, minimum, maximum)).orElse(fallback);
    }

    /** A number, or what holds when there is none. */
    public double number(final String key, final double fallback) {
        return value(key)
                .map(v -> {
                    if (v instanceof Number n && Double.isFinite(n.doubleValue())) {
                        return n.doubleValue();
                    }
                    faults.add(path + "." + key + ": a number is needed");
                    return fallback;
                })
                .orElse(fallback);
    }

    /** A flag, or what holds when there is none. */
    public boolean flag(final String key, final boolean fallback) {
        return value(key)
                .map(v -> {
                    if (v instanceof Boolean b) {
                        return b;
                    }
                    faults.add(path + "." + key + ": true or false is needed");
                    return fallback;
                })
                .orElse(fallback);
    }

    /** A list of texts; empty when there is none. */
    public List<String> strings(final String key, final int maxCount, final int maxLength) {
        final List<String> strings = new ArrayList<>();
        final List<?> elements = list(key, maxCount);
        for (int i = 0; i < elements.size(); i++) {
            strings.add(string(path + "." + key + "[" + i + "]", elements.get(i), maxLength));
        }
        return strings;
    }

    /** A list of whole numbers; empty when there is none. */
    public List<Long> integers(final String key, final int maxCount) {
        final List<Long> integers = new ArrayList<>();
        final List<?> elements = list(key, maxCount);
        for (int i = 0; i < elements.size(); i++) {
            integers.add(integer(key + "[" + i + "]", elements.get(i), Long.MIN_VALUE, Long.MAX_VALUE));
        }
        return integers;
    }

    /** A list of objects; empty when there is none. */
    public List<JsonDocument> objects(final String key, final int maxCount) {
        final List<JsonDocument> objects = new ArrayList<>();
        final List<?> elements = list(key, maxCount);
        for (int i = 0; i < elements.size(); i++) {
            final String elementPath = path + "." + key + "[" + i + "]";
            if (elements.get(i) instanceof Map<?, ?> map) {
                objects.add(new JsonDocument(elementPath, map, faults));
            } else {
                faults.add(elementPath + ": an object is needed");
            }
        }
        return objects;
    }

    /** An object within this one; an empty one when there is none. */
    public JsonDocument object(final String key) {
        return value(key)
                .filter(v -> v instanceof Map<?, ?>)
                .map(v -> new JsonDocument(path + "." + key, (Map<?, ?>) v, faults))
                .orElseGet(() -> {
                    faults.add(path + "." + key + ": an object is needed");
                    return new JsonDocument(path + "." + key, Map.of(), faults);
                });
    }

    private static Optional<String> string(final Object value) {
        if (value instanceof String s) {
            return s.length() <= 64 ? Optional.of(s) : Optional.empty();
        }
        if (value instanceof Double d && d == Math.rint(d) && Math.abs(d) < 1e15) {
            return Optional.of("" + d.longValue());
        }
        return value instanceof Boolean || value instanceof Number ? Optional.of("" + value) : Optional.empty();
    }

    /** A cell's value as text, whether it is a text, a number or a flag. */
    public String scalarText(final String key) {
        return value(key)
                .map(v -> string(v).orElseGet(() -> {
                    faults.add(path + "." + key + ": a text, a number or a flag is needed");
                    return "";
                }))
                .orElseGet(() -> missing(key, ""));
    }

    private List<?> list(final String key, final int maxCount) {
        return value(key)
                .map(v -> {
                    if (!(v instanceof List<?> list)) {
                        faults.add(path + "." + key + ": a list is needed");
                        return List.of();
                    }
                    if (list.size() > maxCount) {
                        faults.add(path + "." + key + ": at most " + maxCount + " entries");
                        return List.of();
                    }
                    return list;
                })
                .orElse(List.of());
    }

    private String string(final String valuePath, final Object value, final int maxLength) {
        if (!(value instanceof String s)) {
            faults.add(valuePath + ": a text is needed");
            return "";
        }
        if (s.length() > maxLength) {
            faults.add(valuePath + ": longer than " + maxLength);
            return "";
        }
        return s;
    }

    private long integer(final String key, final Object value, final long minimum, final long maximum) {
        if (value instanceof Number n && n.doubleValue() == Math.rint(n.doubleValue())) {
            if (n.longValue() >= minimum && n.longValue() <= maximum) {
                return n.longValue();
            }
            faults.add(path + "." + key + ": not within " + minimum + " and " + maximum);
        } else {
            faults.add(path + "." + key + ": a whole number is needed");
        }
        return minimum;
    }

    private <T> T missing(final String key, final T fallback) {
        faults.add(path + "." + key + ": missing");
        return fallback;
    }

    private Optional<Object> value(final String key) {
        readKeys.add(key);
        return Optional.ofNullable(fields.get(key));
    }
}
