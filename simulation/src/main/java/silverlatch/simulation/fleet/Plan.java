package silverlatch.simulation.fleet;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import silverlatch.json.JsonDocument;

/** A deployment to be stood up on one machine. */
public record Plan(String name, List<Region> regions, List<Kind> kinds, List<Tenant> tenants, Path table) {
    /** Copies the lists. */
    public Plan {
        regions = List.copyOf(regions);
        kinds = List.copyOf(kinds);
        tenants = List.copyOf(tenants);
    }

    /** A region with one zone, and what stands there beside one controller. */
    public record Region(String region, String zone, int gateways, int workers) {}

    /** A kind of ticket, and how often and how long it comes. */
    public record Kind(String kind, int weight, int pieces, int prefix, boolean once) {}

    /** A tenant. */
    public record Tenant(String name, String key, double share, List<String> homes) {
        /** Copies the homes. */
        public Tenant {
            homes = List.copyOf(homes);
        }
    }

    /** Reads the plan of a folder under examples. */
    public static Plan read(final Path folder) throws IOException {
        if (!(JsonDocument.parse(Files.readAllBytes(folder.resolve("plan.json")), 1 << 20)
                instanceof JsonDocument.Parsed.Good good)) {
            throw new IOException("the plan is not JSON");
        }
        final JsonDocument s = good.sheet();
        final List<Region> regions = new ArrayList<>();
        s.sheets("regions", 16)
                .forEach(r -> regions.add(
                        new Region(r.text("region", 64), r.text("zone", 64), (int) r.whole("gateways", 0, 64), (int)
                                r.whole("workers", 0, 64))));
        final List<Kind> kinds = new ArrayList<>();
        s.sheets("kinds", 16)
                .forEach(k -> kinds.add(new Kind(
                        k.text("kind", 64),
                        (int) k.whole("weight", 0, 100),
                        (int) k.whole("pieces", 1, 1000),
                        (int) k.whole("prefix", 0, 64),
                        k.flag("once", false))));
        final List<Tenant> tenants = new ArrayList<>();
        s.sheets("tenants", 1000)
                .forEach(t -> tenants.add(new Tenant(
                        t.text("name", 64), t.text("key", 64), t.number("share", 1), t.texts("homes", 16, 64))));
        final List<String> faults = s.end();
        if (!faults.isEmpty()) {
            throw new IOException(String.join("; ", faults));
        }
        return new Plan(folder.getFileName().toString(), regions, kinds, tenants, folder.resolve("table.json"));
    }

    /** The consumer stand-in's words for tenants. */
    public String people() {
        return String.join(
                ",", tenants.stream().map(t -> t.name() + ":" + t.key()).toList());
    }

    /** The consumer stand-in's words for kinds. */
    public String sorts() {
        return String.join(
                ",",
                kinds.stream()
                        .map(k -> k.kind() + ":" + k.weight() + ":" + k.pieces() + ":" + k.prefix() + ":" + k.once())
                        .toList());
    }

    /** The check's words for homes. */
    public String homes() {
        return String.join(
                ",",
                tenants.stream()
                        .filter(t -> !t.homes().isEmpty())
                        .map(t -> t.name() + "=" + String.join("+", t.homes()))
                        .toList());
    }
}
