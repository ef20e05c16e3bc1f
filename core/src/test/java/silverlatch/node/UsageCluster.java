package silverlatch.node;

import static silverlatch.node.NodeCluster.SECOND;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import silverlatch.replication.ChainReplica;
import silverlatch.replication.SingletonTenure;
import silverlatch.state.Command;
import silverlatch.state.Value;
import silverlatch.traffic.TrafficReporter;
import silverlatch.traffic.UsageCounter;
import silverlatch.traffic.UsageSchedule;
import silverlatch.util.Digests;

/**
 * A cluster of complete nodes whose gateways count usage and whose controllers report it to a provider, as {@code ProviderCaller} does: one
 * call at a time, after a minimum tenure as owner, and retried while the outcome isn't known. Requests and responses of a call are delayed and
 * may be lost; a call of a paused process is sent when the process resumes.
 */
final class UsageCluster {
    static final long WINDOW = 5 * SECOND;
    static final long DELAY = 10 * SECOND;
    private static final long UNIX_START = 1_700_000_000_000_000L;
    private static final long STEP = 20_000;
    private static final long TENURE = 3_600_000;
    private static final long CALL_TIMEOUT = 2_500_000;
    private static final int MAX_DELAY = 60_000;
    private final NodeCluster cluster;
    private final SplittableRandom random;
    private final UsageSchedule schedule = new UsageSchedule(WINDOW, DELAY);
    private final ProviderAudit provider = new ProviderAudit();
    private final Map<String, Caller> callers = new TreeMap<>();
    private final Map<String, UsageCounter> counters = new TreeMap<>();
    private final Set<String> frozen = new HashSet<>();
    private final Map<Long, Map<String, Long>> counted = new TreeMap<>();
    private int lossPercent;

    UsageCluster(final int controllers, final int gateways, final long seed) {
        this.cluster = new NodeCluster(controllers, gateways, seed);
        this.random = new SplittableRandom(seed);
        cluster.controllers().forEach(this::attach);
        cluster.gateways().forEach(this::attach);
        ClusterSteps.acknowledge(cluster, cluster.controllers(), 1, 5 * SECOND);
        cluster.put("c0", withTenants());
    }

    private static Command withTenants() {
        final Value.TenantAccess tenant = new Value.TenantAccess(
                "acme", List.of(Digests.sha256Hex("key")), Value.TenantAccess.ROUTE_PRIORITY, List.of());
        return new Command.PutFullConfiguration(
                Configurations.configuration("tenants", 2, -1), true, List.of(tenant), List.of(), List.of());
    }

    /** Connects a newly started process to its usage counter or provider caller. */
    private void attach(final String name) {
        final Node node = cluster.node(name);
        if (name.startsWith("c")) {
            node.traffic().enableUsageClosing(schedule);
            callers.put(name, new Caller(name));
        } else {
            final UsageCounter counter = new UsageCounter(schedule, node::physicalClock);
            counters.put(name, counter);
            node.setReady(true);
            final long incarnation = node.membership().self().incarnation();
            node.traffic().enableReporting(new TrafficReporter(name, incarnation, Optional.of(counter), List::of));
        }
    }

    NodeCluster nodes() {
        return cluster;
    }

    ProviderAudit provider() {
        return provider;
    }

    /** Returns the true number of requests started in each window, by tenant. */
    Map<Long, Map<String, Long>> counted() {
        return counted;
    }

    /** Sets the percentage of calls that are lost, which is also the percentage of lost responses. */
    void setCallLossPercent(final int percent) {
        lossPercent = percent;
    }

    void kill(final String name) {
        cluster.kill(name);
        callers.remove(name);
        counters.remove(name);
    }

    void start(final String name) {
        cluster.start(name, cluster.controllers());
        attach(name);
    }

    void freeze(final String name) {
        cluster.freeze(name);
        frozen.add(name);
    }

    void thaw(final String name) {
        frozen.remove(name);
        cluster.thaw(name);
    }

    /** Returns the owner of the singleton role according to most of the running controllers. */
    String owner() {
        final Map<String, Integer> votes = new HashMap<>();
        callers.keySet().stream()
                .flatMap(name -> cluster.node(name).view().owner().stream())
                .forEach(owner -> votes.merge(owner.address(), 1, Integer::sum));
        return votes.entrySet().stream()
                .max(Map.Entry.comparingByValue())
                .orElseThrow()
                .getKey();
    }

    long unixMicros() {
        return UNIX_START + cluster.now();
    }

    long currentWindow() {
        return schedule.windowAt(unixMicros());
    }

    /** Advances time; each gateway starts ten requests a second on average. */
    void advance(final long duration) {
        for (final long end = cluster.now() + duration; cluster.now() < end; ) {
            cluster.advance(STEP);
            counters.keySet().stream().filter(name -> !frozen.contains(name)).forEach(this::startRequests);
            List.copyOf(callers.values()).forEach(Caller::step);
            checkAtMostOneOwner();
        }
    }

    /** Checks that at most one controller holds a fencing token. Includes paused processes: they may check their lease right after resuming. */
    private void checkAtMostOneOwner() {
        final List<String> owners = callers.keySet().stream()
                .filter(name -> cluster.node(name)
                        .chainReplica()
                        .flatMap(replica -> replica.fencingToken(cluster.now()))
                        .isPresent())
                .toList();
        if (owners.size() > 1) {
            provider.violation("owners at one moment: " + owners);
        }
    }

    private void startRequests(final String gateway) {
        if (random.nextInt(5) == 0) {
            final String tenant = "tenant-" + random.nextInt(3);
            counters.get(gateway).count(tenant, cluster.now());
            counted.computeIfAbsent(currentWindow(), window -> new TreeMap<>()).merge(tenant, 1L, Long::sum);
        }
    }

    /** Advances time until the provider receives a call; returns the holder of the last accepted call. */
    String awaitProviderCall() {
        final int calls = provider.calls();
        while (provider.calls() == calls) {
            advance(STEP);
        }
        return provider.lastHolder().orElseThrow();
    }

    /** The provider caller of one process; a restarted process gets a new one. */
    private final class Caller {
        private final String name;
        private final SingletonTenure tenure = new SingletonTenure(TENURE);
        private Optional<Call> inFlight = Optional.empty();

        Caller(final String name) {
            this.name = name;
        }

        void step() {
            if (frozen.contains(name)) {
                return;
            }
            final long now = cluster.now();
            final Optional<ChainReplica> replica = cluster.node(name).chainReplica();
            final Optional<Long> token = replica.flatMap(chain -> chain.fencingToken(now));
            tenure.observe(token, now);
            inFlight.ifPresent(call -> call.step(now));
            if (inFlight.isEmpty() && token.isPresent() && tenure.mayAct(token.get(), now)) {
                inFlight = cluster.node(name)
                        .traffic()
                        .outbox()
                        .next(replica.orElseThrow().stateMachine())
                        .map(window -> new Call(this, token.get(), window, now));
            }
        }

        void onOutcome(final Value.UsageWindow window, final boolean isAccepted) {
            inFlight = Optional.empty();
            if (isAccepted) {
                cluster.node(name).traffic().outbox().onReported(window.number());
            }
        }
    }

    /** A call in flight. Its caller polls it, so the call of a paused process is delivered late. */
    private final class Call {
        private final Caller caller;
        private final long token;
        private final Value.UsageWindow window;
        private final long madeAt;
        private final long arrivesAt;
        private final long answeredAt;
        private final boolean isLost;
        private final boolean isAnswerLost;
        private Optional<Boolean> outcome = Optional.empty();

        Call(final Caller caller, final long token, final Value.UsageWindow window, final long now) {
            this.caller = caller;
            this.token = token;
            this.window = window;
            this.madeAt = now;
            this.arrivesAt = now + random.nextInt(MAX_DELAY);
            this.answeredAt = arrivesAt + random.nextInt(MAX_DELAY);
            this.isLost = random.nextInt(100) < lossPercent;
            this.isAnswerLost = random.nextInt(100) < lossPercent;
        }

        void step(final long now) {
            if (outcome.isEmpty() && !isLost && now >= arrivesAt) {
                outcome = Optional.of(provider.report(caller.name, token, window, now));
            }
            if (outcome.isPresent() && !isAnswerLost && now >= answeredAt) {
                caller.onOutcome(window, outcome.get());
            } else if (now - madeAt >= CALL_TIMEOUT) {
                caller.onOutcome(window, false);
            }
        }
    }

    /** Returns the windows from one number (inclusive) to another (exclusive) that were not reported. */
    List<Long> missing(final long from, final long until) {
        final List<Long> missing = new ArrayList<>();
        for (long window = from; window < until; window++) {
            if (!provider.reports().containsKey(window)) {
                missing.add(window);
            }
        }
        return missing;
    }
}
