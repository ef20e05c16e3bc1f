package silverlatch.simulation.client;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import silverlatch.util.Digests;

/** Draws the requests of a load from its tenants and kinds: the same seed gives the same requests. */
final class LoadPlan {
    private static final int CONVERSATIONS = 6;
    private static final int DIGEST_LENGTH = 24;
    private final SplittableRandom random;
    private final long seed;
    private final List<Tenant> tenants = new ArrayList<>();
    private final List<Kind> weightedKinds = new ArrayList<>();

    /** A tenant and its key. */
    record Tenant(String name, String key) {}

    /** A kind of request; how many chunks a response has on average, and how many parts a prefix. */
    record Kind(String name, int chunks, int prefixParts, boolean atMostOnce) {}

    /** A request as it is sent, and sent again under the same idempotency key. */
    record Content(Tenant tenant, String kind, String idempotencyKey, String prompt, List<String> prefix) {
        Content {
            prefix = List.copyOf(prefix);
        }
    }

    /**
     * A plan.
     *
     * @param tenants NAME:KEY by commas
     * @param kinds   KIND:WEIGHT:CHUNKS:PREFIX:ONCE by commas
     * @param seed    decides all that is drawn
     */
    LoadPlan(final String tenants, final String kinds, final long seed) {
        this.seed = seed;
        this.random = new SplittableRandom(seed);
        for (final String tenant : tenants.split(",")) {
            final String[] fields = tenant.split(":");
            this.tenants.add(new Tenant(fields[0], fields[1]));
        }
        for (final String kind : kinds.split(",")) {
            addKind(kind.split(":"));
        }
    }

    private void addKind(final String[] fields) {
        final Kind kind = new Kind(
                fields[0], Integer.parseInt(fields[2]), Integer.parseInt(fields[3]), Boolean.parseBoolean(fields[4]));
        for (int i = 0; i < Integer.parseInt(fields[1]); i++) {
            weightedKinds.add(kind);
        }
    }

    /** The request of a number. */
    Content next(final long number) {
        final Kind kind = weightedKinds.get(random.nextInt(weightedKinds.size()));
        final Tenant tenant = tenants.get(random.nextInt(tenants.size()));
        final int chunks = Math.max(1, kind.chunks() / 2 + random.nextInt(kind.chunks()));
        final String key = kind.atMostOnce() ? "k" + seed + "-" + number : "";
        final String prompt = chunks + " " + tenant.name() + " asks " + number + " " + seed;
        return new Content(tenant, kind.name(), key, prompt, randomPrefix(kind));
    }

    /** A seed for one request's own choices. */
    long nextSeed() {
        return random.nextLong();
    }

    /** Whether one of so many is drawn. */
    boolean isDrawn(final int outOf) {
        return random.nextInt(outOf) == 0;
    }

    private List<String> randomPrefix(final Kind kind) {
        final List<String> parts = new ArrayList<>();
        final int conversation = random.nextInt(CONVERSATIONS);
        for (int i = 0; i < kind.prefixParts(); i++) {
            parts.add(Digests.sha256Hex(kind.name() + "/" + conversation + "/" + i)
                    .substring(0, DIGEST_LENGTH));
        }
        return parts;
    }
}
