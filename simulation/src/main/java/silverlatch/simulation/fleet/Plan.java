package silverlatch.simulation.fleet;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import silverlatch.json.JsonDocument;

/**
 * The plan of a deployment on one machine.
 *
 * @param table the file of the routing table
 */
public record Plan(String name, List<Region> regions, List<Kind> kinds, List<Tenant> tenants, Path table) {
    /** Copies the lists. */
    public Plan {
        regions = List.copyOf(regions);
        kinds = List.copyOf(kinds);
        tenants = List.copyOf(tenants);
    }

    /** A region of one zone with its numbers of gateways and workers; it also has one controller. */
    public record Region(String region, String zone, int gateways, int workers) {}

    /**
     * A kind of request of the load.
     *
     * @param weight      its share of the requests, relative to the other kinds
     * @param chunks      the average number of chunks of a response
     * @param prefixParts the number of parts of a prefix
     * @param atMostOnce  whether a request must not run twice, and so has an idempotency key
     */
    public record Kind(String kind, int weight, int chunks, int prefixParts, boolean atMostOnce) {}

    /**
     * A tenant.
     *
     * @param key         its API key
     * @param share       its weight when the capacity of the fleet is divided among tenants
     * @param homeRegions the regions in which its requests may run; empty means all
     */
    public record Tenant(String name, String key, double share, List<String> homeRegions) {
        /** Copies the list of home regions. */
        public Tenant {
            homeRegions = List.copyOf(homeRegions);
        }
    }

    /**
     * Reads the plan in a directory under examples.
     *
     * @throws IOException if it can't be read or is invalid; the message names the faults
     */
    public static Plan read(final Path folder) throws IOException {
        if (!(JsonDocument.parse(Files.readAllBytes(folder.resolve("plan.json")), 1 << 20)
                instanceof JsonDocument.ParseResult.Valid good)) {
            throw new IOException("plan.json is not JSON");
        }
        final JsonDocument document = good.document();
        final List<Region> regions = new ArrayList<>();
        document.objects("regions", 16)
                .forEach(region -> regions.add(new Region(
                        region.string("region", 64),
                        region.string("zone", 64),
                        (int) region.integer("gateways", 0, 64),
                        (int) region.integer("workers", 0, 64))));
        final List<Kind> kinds = new ArrayList<>();
        document.objects("kinds", 16)
                .forEach(kind -> kinds.add(new Kind(
                        kind.string("kind", 64),
                        (int) kind.integer("weight", 0, 100),
                        (int) kind.integer("pieces", 1, 1000),
                        (int) kind.integer("prefix", 0, 64),
                        kind.flag("once", false))));
        final List<Tenant> tenants = new ArrayList<>();
        document.objects("tenants", 1000)
                .forEach(t -> tenants.add(new Tenant(
                        t.string("name", 64), t.string("key", 64), t.number("share", 1), t.strings("homes", 16, 64))));
        final List<String> faults = document.finish();
        if (!faults.isEmpty()) {
            throw new IOException(String.join("; ", faults));
        }
        return new Plan(folder.getFileName().toString(), regions, kinds, tenants, folder.resolve("table.json"));
    }

    /** Returns the argument of the load generator for the tenants. */
    public String tenantArguments() {
        return String.join(
                ",", tenants.stream().map(t -> t.name() + ":" + t.key()).toList());
    }

    /** Returns the argument of the load generator for the kinds. */
    public String kindArguments() {
        return String.join(
                ",",
                kinds.stream()
                        .map(k -> k.kind() + ":" + k.weight() + ":" + k.chunks() + ":" + k.prefixParts() + ":"
                                + k.atMostOnce())
                        .toList());
    }

    /** Returns the argument of the receipt check for the home regions. */
    public String homeArguments() {
        return String.join(
                ",",
                tenants.stream()
                        .filter(t -> !t.homeRegions().isEmpty())
                        .map(t -> t.name() + "=" + String.join("+", t.homeRegions()))
                        .toList());
    }
}
