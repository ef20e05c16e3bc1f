package silverlatch.simulation.client;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import silverlatch.util.Digests;

/** Draws the requests of a generated load at random from its tenants and kinds; the same seed gives the same requests. */
final class LoadPlan {
    private static final int CONVERSATIONS = 6;
    private static final int DIGEST_LENGTH = 24;
    private final SplittableRandom random;
    private final long seed;
    private final List<Tenant> tenants = new ArrayList<>();
    private final List<Kind> weightedKinds = new ArrayList<>();

    /** A tenant and its API key. */
    record Tenant(String name, String key) {}

    /** A kind of request with the average number of chunks of a response and the number of parts of a prefix. */
    record Kind(String name, int chunks, int prefixParts, boolean atMostOnce) {}

    /** The content of a request; a duplicate has the same content and idempotency key. */
    record Content(Tenant tenant, String kind, String idempotencyKey, String prompt, List<String> prefix) {
        Content {
            prefix = List.copyOf(prefix);
        }
    }

    /**
     * Creates a plan.
     *
     * @param tenants comma-separated list of NAME:KEY
     * @param kinds   comma-separated list of KIND:WEIGHT:CHUNKS:PREFIX:ONCE
     * @param seed    the seed of all random choices
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

    /** Draws the request with a number. */
    Content next(final long number) {
        final Kind kind = weightedKinds.get(random.nextInt(weightedKinds.size()));
        final Tenant tenant = tenants.get(random.nextInt(tenants.size()));
        final int chunks = Math.max(1, kind.chunks() / 2 + random.nextInt(kind.chunks()));
        final String key = kind.atMostOnce() ? "k" + seed + "-" + number : "";
        final String prompt = chunks + " " + tenant.name() + " asks " + number + " " + seed;
        return new Content(tenant, kind.name(), key, prompt, randomPrefix(kind));
    }

    /** Draws a seed for the random choices of one request. */
    long nextSeed() {
        return random.nextLong();
    }

    /** Returns true with a probability of 1 in {@code outOf}. */
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
