package silverlatch.simulation.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import silverlatch.simulation.fleet.Plan;

/**
 * Generates the clients' requests as an open-loop load, drawn from the plan's kinds and tenants. Some requests with an
 * idempotency key are sent twice.
 */
final class LoadGenerator {
    private static final long SECOND = 1_000_000L;
    private static final int CONVERSATIONS = 5;
    private static final int LONG_PROMPT_CONVERSATIONS = 60;
    private static final int LONG_RESPONSE_FACTOR = 3;
    private static final Plan.Kind GATE = new Plan.Kind(Operators.GATE_KIND, 0, 3, 1, false);
    private final World world;
    private final SplittableRandom random;
    private final List<Plan.Tenant> tenants;
    private final List<Plan.Kind> kinds;
    private long arrivals;
    private long requestsPerSecond;
    private int lengthBias;
    private boolean clientsMoving;
    private boolean stopped;

    LoadGenerator(final World world, final long requestsPerSecond) {
        this.world = world;
        this.random = world.scheduler().random();
        this.tenants = new ArrayList<>(world.plan().tenants());
        this.kinds = world.plan().kinds();
        this.requestsPerSecond = requestsPerSecond;
    }

    /** Starts the load, which continues until {@link #stop}. */
    void start() {
        scheduleArrival();
    }

    /** Stops sending new requests. */
    void stop() {
        stopped = true;
    }

    long requestsPerSecond() {
        return requestsPerSecond;
    }

    /** Sets the requests per second, and whether prompts (length bias above 0) or responses (below 0) are longer than usual. */
    void setLoad(final long newRate, final int newLengthBias) {
        requestsPerSecond = newRate;
        lengthBias = newLengthBias;
    }

    /** Sets whether some clients reconnect in the middle of a response. */
    void setClientsMoving(final boolean moving) {
        clientsMoving = moving;
    }

    boolean areClientsMoving() {
        return clientsMoving;
    }

    /** Makes the first tenant send the given multiple of each other tenant's requests. */
    void multiplyFirstTenant(final int factor) {
        for (int i = 1; i < factor; i++) {
            tenants.add(tenants.get(0));
        }
    }

    private void scheduleArrival() {
        if (stopped) {
            return;
        }
        final Plan.Tenant tenant = world.randomOf(tenants);
        final Plan.Kind kind = randomKind();
        arrivals++;
        final ClientRequest.Content content = randomContent(tenant, kind);
        world.startRequest(content, 0, clientsMoving && random.nextInt(3) == 0);
        if (kind.atMostOnce() && random.nextInt(5) == 0) {
            world.startRequest(content, random.nextInt(2), false);
            world.observer().exercise(Invariant.AT_MOST_ONCE);
        }
        if (random.nextInt(6) == 0) {
            world.startRequest(gateContent(tenant, content.endpoint()), 0, false);
        }
        world.scheduler().schedule(1 + random.nextLong(2 * SECOND / requestsPerSecond), this::scheduleArrival);
    }

    private Plan.Kind randomKind() {
        int weightLeft =
                random.nextInt(kinds.stream().mapToInt(Plan.Kind::weight).sum());
        for (final Plan.Kind kind : kinds) {
            weightLeft -= kind.weight();
            if (weightLeft < 0) {
                return kind;
            }
        }
        return kinds.get(0);
    }

    private ClientRequest.Content randomContent(final Plan.Tenant tenant, final Plan.Kind kind) {
        final String idempotencyKey = kind.atMostOnce() ? "key-" + arrivals : "";
        final int chunks = 1 + random.nextInt(kind.chunks() * (lengthBias < 0 ? LONG_RESPONSE_FACTOR : 1));
        final int conversation = random.nextInt(lengthBias > 0 ? LONG_PROMPT_CONVERSATIONS : CONVERSATIONS);
        final List<String> prefix = new ArrayList<>();
        for (int i = 0; i < kind.prefixParts() * (lengthBias > 0 ? 2 : 1); i++) {
            prefix.add(kind.kind() + conversation + "/" + i);
        }
        final String prompt = chunks + " " + tenant.name() + " " + arrivals;
        final String endpoint =
                "consumers-" + world.randomOf(world.plan().regions()).region();
        return new ClientRequest.Content(tenant, kind, idempotencyKey, endpoint, prompt, prefix);
    }

    /** Returns a request of the kind whose row is the gate; see {@link Operators#GATE_KIND}. */
    private ClientRequest.Content gateContent(final Plan.Tenant tenant, final String endpoint) {
        final String prompt = "2 " + tenant.name() + " t" + arrivals;
        return new ClientRequest.Content(tenant, GATE, "", endpoint, prompt, List.of("trial"));
    }
}
