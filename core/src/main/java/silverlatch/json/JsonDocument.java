package silverlatch.json;

import io.avaje.jsonb.Jsonb;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * A JSON object whose fields are read and validated one by one. An invalid field reads as its minimum, as its fallback
 * or as empty, its fault is recorded with the field's path, and reading continues to find the remaining faults. Callers
 * must check the result of {@link #finish} before they use any of the values. Nested documents record into the same
 * list of faults.
 */
public final class JsonDocument {
    private static final Jsonb JSON = Jsonb.builder().build();
    private static final int MAX_DEPTH = 12;
    private static final int MAX_SCALAR_LENGTH = 64;
    private static final double MAX_EXACT_INTEGER = 1e15;
    private static final int BAD_REQUEST = 400;
    private static final int CONTENT_TOO_LARGE = 413;
    private static final int UNPROCESSABLE = 422;
    private final String path;
    private final Map<?, ?> fields;
    private final List<String> faults;
    private final Set<String> readKeys = new HashSet<>();

    private JsonDocument(final String path, final Map<?, ?> fields, final List<String> faults) {
        this.path = path;
        this.fields = fields;
        this.faults = faults;
    }

    /** Result of parsing. */
    public sealed interface ParseResult {
        /** A JSON object, ready to be read. */
        record Valid(JsonDocument document) implements ParseResult {}

        /**
         * The input is not a JSON object that is accepted; has the HTTP status and the reason to reply to the sender.
         */
        record Invalid(int code, String reason) implements ParseResult {}
    }

    /** Parses a JSON object from at most {@code maxBytes} bytes of UTF-8. */
    public static ParseResult parse(final byte[] body, final int maxBytes) {
        if (body.length > maxBytes) {
            return new ParseResult.Invalid(CONTENT_TOO_LARGE, "$: larger than " + maxBytes + " bytes");
        }
        return switch (JsonSyntax.check(body, MAX_DEPTH)) {
            case TOO_DEEP -> new ParseResult.Invalid(UNPROCESSABLE, "$: deeper than " + MAX_DEPTH + " levels");
            case INVALID -> new ParseResult.Invalid(BAD_REQUEST, "$: not JSON");
            case VALID -> parseValid(body);
        };
    }

    private static ParseResult parseValid(final byte[] body) {
        try {
            final Object root = JSON.type(Object.class)
                    .fromJson(StandardCharsets.UTF_8
                            .newDecoder()
                            .decode(ByteBuffer.wrap(body))
                            .toString());
            return root instanceof Map<?, ?> map
                    ? new ParseResult.Valid(new JsonDocument("$", map, new ArrayList<>()))
                    : new ParseResult.Invalid(BAD_REQUEST, "$: an object is needed");
        } catch (final CharacterCodingException notUtf8) {
            return new ParseResult.Invalid(BAD_REQUEST, "$: not UTF-8");
        } catch (final RuntimeException notJson) {
            return new ParseResult.Invalid(BAD_REQUEST, "$: not JSON");
        }
    }

    /** Returns the JSON text of a value that consists of maps, lists, strings, numbers and booleans. */
    public static String write(final Object value) {
        return JSON.type(Object.class).toJson(value);
    }

    /** Returns a copy of this document with some fields added or replaced. It records into the same list of faults. */
    public JsonDocument with(final Map<String, Object> replacements) {
        final Map<Object, Object> merged = new LinkedHashMap<>(fields);
        merged.putAll(replacements);
        return new JsonDocument(path, merged, faults);
    }

    /** Returns an empty document. */
    public static JsonDocument empty() {
        return new JsonDocument("$", Map.of(), new ArrayList<>());
    }

    /** Returns the fields in their order, with an empty string for each null. */
    public Map<String, Object> asMap() {
        final Map<String, Object> copy = new LinkedHashMap<>();
        fields.forEach((k, v) ->
                copy.put(String.valueOf(k), Optional.<Object>ofNullable(v).orElse("")));
        return copy;
    }

    /** Returns all faults found so far, including those of nested documents. */
    public List<String> faults() {
        return List.copyOf(faults);
    }

    /** Completes reading: records a fault for every key that was not read, and returns all faults. */
    public List<String> finish() {
        fields.keySet().stream()
                .map(String::valueOf)
                .filter(key -> !readKeys.contains(key))
                .sorted()
                .forEach(key -> addFault(key, "unknown key"));
        return faults();
    }

    /** Returns whether a key is present and not null. The key counts as read. */
    public boolean has(final String key) {
        return value(key).isPresent();
    }

    /** Returns whether a key is present, even if its value is null. The key counts as read. */
    public boolean contains(final String key) {
        readKeys.add(key);
        return fields.containsKey(key);
    }

    private String pathOf(final String key) {
        return path + "." + key;
    }

    /** Records a fault of a key. */
    public void addFault(final String key, final String reason) {
        faults.add(pathOf(key) + ": " + reason);
    }

    /** Records a fault if a key is missing or null. */
    public void require(final String key) {
        if (!has(key)) {
            addFault(key, "missing");
        }
    }

    /** Reads a required string of at most {@code maxLength} characters. */
    public String string(final String key, final int maxLength) {
        return value(key).map(value -> string(pathOf(key), value, maxLength)).orElseGet(() -> missing(key, ""));
    }

    /** Reads a string of at most {@code maxLength} characters, or returns the fallback if the key is missing. */
    public String string(final String key, final int maxLength, final String fallback) {
        return value(key).map(value -> string(pathOf(key), value, maxLength)).orElse(fallback);
    }

    /** Reads a required integer within inclusive bounds. */
    public long integer(final String key, final long minimum, final long maximum) {
        return value(key).map(value -> integer(key, value, minimum, maximum)).orElseGet(() -> missing(key, minimum));
    }

    /** Reads an integer within inclusive bounds, or returns the fallback if the key is missing. */
    public long integer(final String key, final long minimum, final long maximum, final long fallback) {
        return value(key).map(value -> integer(key, value, minimum, maximum)).orElse(fallback);
    }

    /** Reads a finite number, or returns the fallback if the key is missing or invalid. */
    public double number(final String key, final double fallback) {
        return value(key)
                .map(v -> {
                    if (v instanceof Number n && Double.isFinite(n.doubleValue())) {
                        return n.doubleValue();
                    }
                    addFault(key, "a number is needed");
                    return fallback;
                })
                .orElse(fallback);
    }

    /** Reads a boolean, or returns the fallback if the key is missing or invalid. */
    public boolean flag(final String key, final boolean fallback) {
        return value(key)
                .map(v -> {
                    if (v instanceof Boolean b) {
                        return b;
                    }
                    addFault(key, "true or false is needed");
                    return fallback;
                })
                .orElse(fallback);
    }

    /**
     * Reads a list of at most {@code maxCount} strings of at most {@code maxLength} characters each; empty if the key
     * is missing.
     */
    public List<String> strings(final String key, final int maxCount, final int maxLength) {
        final List<String> strings = new ArrayList<>();
        final List<?> elements = list(key, maxCount);
        for (int i = 0; i < elements.size(); i++) {
            strings.add(string(pathOf(key) + "[" + i + "]", elements.get(i), maxLength));
        }
        return strings;
    }

    /** Reads a list of at most {@code maxCount} integers; empty if the key is missing. */
    public List<Long> integers(final String key, final int maxCount) {
        final List<Long> integers = new ArrayList<>();
        final List<?> elements = list(key, maxCount);
        for (int i = 0; i < elements.size(); i++) {
            integers.add(integer(key + "[" + i + "]", elements.get(i), Long.MIN_VALUE, Long.MAX_VALUE));
        }
        return integers;
    }

    /** Reads a list of at most {@code maxCount} objects; empty if the key is missing. */
    public List<JsonDocument> objects(final String key, final int maxCount) {
        final List<JsonDocument> objects = new ArrayList<>();
        final List<?> elements = list(key, maxCount);
        for (int i = 0; i < elements.size(); i++) {
            final String elementPath = pathOf(key) + "[" + i + "]";
            if (elements.get(i) instanceof Map<?, ?> map) {
                objects.add(new JsonDocument(elementPath, map, faults));
            } else {
                faults.add(elementPath + ": an object is needed");
            }
        }
        return objects;
    }

    /** Reads a required nested object. */
    public JsonDocument object(final String key) {
        return value(key)
                .filter(v -> v instanceof Map<?, ?>)
                .map(v -> new JsonDocument(pathOf(key), (Map<?, ?>) v, faults))
                .orElseGet(() -> {
                    addFault(key, "an object is needed");
                    return new JsonDocument(pathOf(key), Map.of(), faults);
                });
    }

    /** Reads a required string, number or boolean as text. Integral numbers have no fraction. */
    public String scalarText(final String key) {
        return value(key)
                .map(v -> scalarText(v).orElseGet(() -> {
                    addFault(key, "a text, a number or a flag is needed");
                    return "";
                }))
                .orElseGet(() -> missing(key, ""));
    }

    private static Optional<String> scalarText(final Object value) {
        if (value instanceof String s) {
            return s.length() <= MAX_SCALAR_LENGTH ? Optional.of(s) : Optional.empty();
        }
        if (value instanceof Double d && d == Math.rint(d) && Math.abs(d) < MAX_EXACT_INTEGER) {
            return Optional.of(Long.toString(d.longValue()));
        }
        return value instanceof Boolean || value instanceof Number ? Optional.of("" + value) : Optional.empty();
    }

    private List<?> list(final String key, final int maxCount) {
        return value(key)
                .map(v -> {
                    if (!(v instanceof List<?> list)) {
                        addFault(key, "a list is needed");
                        return List.of();
                    }
                    if (list.size() > maxCount) {
                        addFault(key, "at most " + maxCount + " entries");
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
            addFault(key, "not within " + minimum + " and " + maximum);
        } else {
            addFault(key, "a whole number is needed");
        }
        return minimum;
    }

    private <T> T missing(final String key, final T fallback) {
        addFault(key, "missing");
        return fallback;
    }

    private Optional<Object> value(final String key) {
        readKeys.add(key);
        return Optional.ofNullable(fields.get(key));
    }
}
