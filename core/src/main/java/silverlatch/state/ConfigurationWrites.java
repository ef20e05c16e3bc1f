package silverlatch.state;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * Computes the entries that a routing configuration writes, all in one change: the parts that differ from the entries
 * in force, deletions of the parts that are gone, and always the configuration itself, so that gateways detect any
 * change by the revision.
 */
final class ConfigurationWrites {
    private static final List<String> PART_PREFIXES = List.of(
            ConfigurationValidator.ROUTE_PREFIX,
            ConfigurationValidator.POOL_PREFIX,
            EntryKeys.TENANT_ACCESS,
            EntryKeys.PUBLIC_ROUTES,
            EntryKeys.POOL_SCALINGS,
            EntryKeys.ACCESS_CONTROL);

    /**
     * Maximum size of all parts together, in bytes, so that a gateway without a configuration gets them in one frame.
     */
    private static final long MAX_PART_BYTES = 10L << 20;
    /** Maximum size of one change without its document, in bytes, so that it fits one frame and one log record. */
    private static final long MAX_CHANGE_BYTES = 11L << 20;
    /**
     * Minimum number of bytes by which an entry in a frame is smaller than its estimate. Estimates are high on purpose,
     * since their other users are harmed more by a low estimate than by a high one; here a high one would reject
     * configurations that fit.
     */
    private static final long ESTIMATE_MARGIN = 64;

    private ConfigurationWrites() {}

    /** Returns the writes of a configuration that has no faults. */
    static List<Entry> of(final Command.PutFullConfiguration command, final EvaluationContext context) {
        final List<Entry> writes = partWrites(command, context);
        final Command.PutConfiguration base = command.base();
        writes.add(context.write(ConfigurationValidator.CONFIGURATION_KEY, base.configuration()));
        writes.add(context.write(
                ConfigurationValidator.DOCUMENT_KEY,
                new Value.ConfigurationDocument(base.configuration().number(), base.document())));
        return writes;
    }

    /** Returns whether a configuration's parts differ from the entries in force. */
    static boolean changesParts(final Command.PutFullConfiguration command, final EvaluationContext context) {
        return !partWrites(command, context).isEmpty();
    }

    private static List<Entry> partWrites(final Command.PutFullConfiguration command, final EvaluationContext context) {
        final Map<String, Entry> current = new HashMap<>();
        PART_PREFIXES.forEach(prefix -> current.putAll(context.withPrefix(prefix)));
        final Map<String, Value> updated = parts(command);
        final List<Entry> writes = new ArrayList<>();
        current.keySet().stream()
                .filter(key -> !updated.containsKey(key))
                .sorted()
                .forEach(key -> writes.add(context.delete(key)));
        updated.keySet().stream()
                .sorted()
                .filter(key -> !isUnchanged(current.get(key), updated.get(key)))
                .forEach(key -> writes.add(context.write(key, updated.get(key))));
        return writes;
    }

    /**
     * Returns the faults in the size of a configuration. One that does not fit in a frame could never be replicated,
     * and would block every change after it.
     *
     * @param writes what the configuration writes
     */
    static List<String> sizeFaults(final Command.PutFullConfiguration command, final List<Entry> writes) {
        final long partBytes = parts(command).entrySet().stream()
                .mapToLong(part -> frameBytes(new Entry(part.getKey(), 0, List.of(part.getValue()))))
                .sum();
        if (partBytes > MAX_PART_BYTES) {
            return List.of("$: its parts take " + partBytes + " bytes of " + MAX_PART_BYTES);
        }
        final long changeBytes = writes.stream()
                .filter(write -> !write.key().equals(ConfigurationValidator.DOCUMENT_KEY))
                .mapToLong(ConfigurationWrites::frameBytes)
                .sum();
        return changeBytes > MAX_CHANGE_BYTES
                ? List.of("$: the change takes " + changeBytes + " bytes of " + MAX_CHANGE_BYTES
                        + ", make it in two steps")
                : List.of();
    }

    private static long frameBytes(final Entry entry) {
        return entry.estimatedBytes() - ESTIMATE_MARGIN;
    }

    private static Map<String, Value> parts(final Command.PutFullConfiguration command) {
        final Map<String, Value> parts = new HashMap<>();
        command.base()
                .routes()
                .forEach(route -> parts.put(ConfigurationValidator.routeKey(route.host(), route.pathPrefix()), route));
        command.base().pools().forEach(pool -> parts.put(ConfigurationValidator.poolKey(pool.name()), pool));
        command.tenants().forEach(tenant -> parts.put(EntryKeys.TENANT_ACCESS + tenant.name(), normalized(tenant)));
        command.publicRoutes().forEach(route -> parts.put(publicRouteKey(route), route));
        command.scalings().forEach(scaling -> parts.put(EntryKeys.POOL_SCALINGS + scaling.pool(), scaling));
        if (command.keysRequired()) {
            parts.put(EntryKeys.ACCESS_CONTROL, new Value.AccessControl(true));
        }
        return parts;
    }

    private static String publicRouteKey(final Value.PublicRoute route) {
        return EntryKeys.PUBLIC_ROUTES + route.host() + "|" + route.pathPrefix();
    }

    /**
     * Removes duplicate keys and sorts the rest, so that a document that merely lists the same keys in another way
     * writes nothing.
     */
    private static Value.TenantAccess normalized(final Value.TenantAccess tenant) {
        return new Value.TenantAccess(
                tenant.name(),
                tenant.keyDigests().stream().sorted().distinct().toList(),
                tenant.priority(),
                tenant.homeRegions());
    }

    private static boolean isUnchanged(final Entry current, final Value value) {
        return Stream.ofNullable(current).anyMatch(entry -> entry.value().equals(List.of(value)));
    }
}
