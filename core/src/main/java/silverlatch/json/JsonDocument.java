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
    private static final int DEEP = 12;
    private final String path;
    private final Map<?, ?> fields;
    private final List<String> faults;
    private final Set<String> asked = new HashSet<>();

    private JsonDocument(final String path, final Map<?, ?> fields, final List<String> faults) {
        this.path = path;
        this.fields = fields;
        this.faults = faults;
    }

    /** What parsing gave. */
    public sealed interface Parsed {
        /** An object to read. */
        record Good(JsonDocument sheet) implements Parsed {}

        /** Not one: the HTTP-like code and why. */
        record Bad(int code, String why) implements Parsed {}
    }

    /** Parses an object of at most so many bytes. */
    public static Parsed parse(final byte[] body, final int most) {
        if (body.length > most) {
            return new Parsed.Bad(413, "$: larger than " + most + " bytes");
        }
        switch (JsonSchema.of(body, DEEP)) {
            case DEEP -> {
                return new Parsed.Bad(422, "$: deeper than " + DEEP + " levels");
            }
            case BROKEN -> {
                return new Parsed.Bad(400, "$: not JSON");
            }
            case WHOLE -> {}
        }
        try {
            final Object root = JSON.type(Object.class)
                    .fromJson(StandardCharsets.UTF_8
                            .newDecoder()
                            .decode(ByteBuffer.wrap(body))
                            .toString());
            return root instanceof Map<?, ?> map
                    ? new Parsed.Good(new JsonDocument("$", map, new ArrayList<>()))
                    : new Parsed.Bad(400, "$: an object is needed");
        } catch (final CharacterCodingException e) {
            return new Parsed.Bad(400, "$: not UTF-8");
        } catch (final RuntimeException e) {
            return new Parsed.Bad(400, "$: not JSON");
        }
    }

    /** The text of a value made of maps, lists, strings, numbers and flags. */
    public static String write(final Object value) {
        return JSON.type(Object.class).toJson(value);
    }

    /** The same sheet with some fields put in place of its own. */
    public JsonDocument with(final Map<String, Object> more) {
        final Map<Object, Object> all = new java.util.LinkedHashMap<>(fields);
        all.putAll(more);
        return new JsonDocument(path, all, faults);
    }

    /** A sheet without any field. */
    public static JsonDocument empty() {
        return new JsonDocument("$", Map.of(), new ArrayList<>());
    }

    /** The fields as they stand. */
    public Map<String, Object> map() {
        final Map<String, Object> all = new java.util.LinkedHashMap<>();
        fields.forEach((k, v) ->
                all.put(String.valueOf(k), Optional.<Object>ofNullable(v).orElse("")));
        return all;
    }

    /** All faults found so far, also in the parts. */
    public List<String> faults() {
        return List.copyOf(faults);
    }

    /** Notes every key that was not asked for, and gives all faults. */
    public List<String> end() {
        fields.keySet().stream()
                .map(String::valueOf)
                .filter(k -> !asked.contains(k))
                .sorted()
                .forEach(k -> faults.add(path + "." + k + ": unknown key"));
        return faults();
    }

    /** Whether a key is there. */
    public boolean has(final String key) {
        return value(key).isPresent();
    }

    /** Notes a fault of a key. */
    public void fault(final String key, final String why) {
        faults.add(path + "." + key + ": " + why);
    }

    /** Notes a key that isn't there. */
    public void need(final String key) {
        if (!has(key)) {
            fault(key, "missing");
        }
    }

    /** A text of at most so many characters. */
    public String text(final String key, final int most) {
        return value(key).map(v -> text(path + "." + key, v, most)).orElseGet(() -> missing(key, ""));
    }

    /** A text, or what holds when there is none. */
    public String text(final String key, final int most, final String other) {
        return value(key).map(v -> text(path + "." + key, v, most)).orElse(other);
    }

    /** A whole number within bounds. */
    public long whole(final String key, final long low, final long high) {
        return value(key).map(v -> whole(key, v, low, high)).orElseGet(() -> missing(key, low));
    }

    /** A whole number, or what holds when there is none. */
    public long whole(final String key, final long low, final long high, final long other) {
        return value(key).map(v -> whole(key, v, low, high)).orElse(other);
    }

    /** A number, or what holds when there is none. */
    public double number(final String key, final double other) {
        return value(key)
                .map(v -> {
                    if (v instanceof Number n && Double.isFinite(n.doubleValue())) {
                        return n.doubleValue();
                    }
                    faults.add(path + "." + key + ": a number is needed");
                    return other;
                })
                .orElse(other);
    }

    /** A flag, or what holds when there is none. */
    public boolean flag(final String key, final boolean other) {
        return value(key)
                .map(v -> {
                    if (v instanceof Boolean b) {
                        return b;
                    }
                    faults.add(path + "." + key + ": true or false is needed");
                    return other;
                })
                .orElse(other);
    }

    /** A list of texts; empty when there is none. */
    public List<String> texts(final String key, final int count, final int most) {
        final List<String> list = new ArrayList<>();
        final List<?> raw = raw(key, count);
        for (int i = 0; i < raw.size(); i++) {
            list.add(text(path + "." + key + "[" + i + "]", raw.get(i), most));
        }
        return list;
    }

    /** A list of whole numbers; empty when there is none. */
    public List<Long> wholes(final String key, final int count) {
        final List<Long> list = new ArrayList<>();
        final List<?> raw = raw(key, count);
        for (int i = 0; i < raw.size(); i++) {
            list.add(whole(key + "[" + i + "]", raw.get(i), Long.MIN_VALUE, Long.MAX_VALUE));
        }
        return list;
    }

    /** A list of objects; empty when there is none. */
    public List<JsonDocument> sheets(final String key, final int count) {
        final List<JsonDocument> list = new ArrayList<>();
        final List<?> raw = raw(key, count);
        for (int i = 0; i < raw.size(); i++) {
            final String at = path + "." + key + "[" + i + "]";
            if (raw.get(i) instanceof Map<?, ?> map) {
                list.add(new JsonDocument(at, map, faults));
            } else {
                faults.add(at + ": an object is needed");
            }
        }
        return list;
    }

    /** An object within this one; an empty one when there is none. */
    public JsonDocument sheet(final String key) {
        return value(key)
                .filter(v -> v instanceof Map<?, ?>)
                .map(v -> new JsonDocument(path + "." + key, (Map<?, ?>) v, faults))
                .orElseGet(() -> {
                    faults.add(path + "." + key + ": an object is needed");
                    return new JsonDocument(path + "." + key, Map.of(), faults);
                });
    }

    private static Optional<String> text(final Object value) {
        if (value instanceof String s) {
            return s.length() <= 64 ? Optional.of(s) : Optional.empty();
        }
        if (value instanceof Double d && d == Math.rint(d) && Math.abs(d) < 1e15) {
            return Optional.of("" + d.longValue());
        }
        return value instanceof Boolean || value instanceof Number ? Optional.of("" + value) : Optional.empty();
    }

    /** A cell's value as text, whether it is a text, a number or a flag. */
    public String cell(final String key) {
        return value(key)
                .map(v -> text(v).orElseGet(() -> {
                    faults.add(path + "." + key + ": a text, a number or a flag is needed");
                    return "";
                }))
                .orElseGet(() -> missing(key, ""));
    }

    private List<?> raw(final String key, final int count) {
        return value(key)
                .map(v -> {
                    if (!(v instanceof List<?> list)) {
                        faults.add(path + "." + key + ": a list is needed");
                        return List.of();
                    }
                    if (list.size() > count) {
                        faults.add(path + "." + key + ": at most " + count + " entries");
                        return List.of();
                    }
                    return list;
                })
                .orElse(List.of());
    }

    private String text(final String at, final Object v, final int most) {
        if (!(v instanceof String s)) {
            faults.add(at + ": a text is needed");
            return "";
        }
        if (s.length() > most) {
            faults.add(at + ": longer than " + most);
            return "";
        }
        return s;
    }

    private long whole(final String key, final Object v, final long low, final long high) {
        if (v instanceof Number n && n.doubleValue() == Math.rint(n.doubleValue())) {
            if (n.longValue() >= low && n.longValue() <= high) {
                return n.longValue();
            }
            faults.add(path + "." + key + ": not within " + low + " and " + high);
        } else {
            faults.add(path + "." + key + ": a whole number is needed");
        }
        return low;
    }

    private <T> T missing(final String key, final T other) {
        faults.add(path + "." + key + ": missing");
        return other;
    }

    private Optional<Object> value(final String key) {
        asked.add(key);
        return Optional.ofNullable(fields.get(key));
    }
}
