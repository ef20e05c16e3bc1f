package silverlatch.replication;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import silverlatch.safeguard.Safeguards;
import silverlatch.state.Command;
import silverlatch.state.CommandResult;
import silverlatch.state.ConfigurationValidator;
import silverlatch.state.Entry;
import silverlatch.state.Value;

/**
 * A drawn day of two operators that write configurations and evacuations at any of six machines, up to eight orders at
 * once, with answers lost 7 in 10 and orders sent again up to half a minute later, while machines die, lose disks (fewer
 * than the copies), lose power, and links are cut or slow. Every answer is checked, also those that the operators lose.
 */
final class OrderStorm {
    private static final List<String> SEEDS = List.of("a", "b", "c");
    private static final List<String> SIX = List.of("a", "b", "c", "d", "e", "f");
    private static final long SECOND = 1_000_000;
    private static final long CALL = 880_000;
    private static final int STEPS = 260;
    private static final int MAX_IN_FLIGHT = 8;
    private static final int LOST_IN_TEN = 7;
    private static final List<String> ZONES = List.of("hall", "quay", "yard", "mole");
    private final long seed;
    private final int copies;
    private final Random random;
    private final ReplicaCluster cluster;
    private final List<Order> orders = new ArrayList<>();
    private final List<Call> calls = new ArrayList<>();
    private final List<Readback> reads = new ArrayList<>();
    private final Map<Long, String> committed = new HashMap<>();
    private final long[] known = new long[2];
    private final List<ZoneOperator> zoneOperators =
            ZONES.stream().map(ZoneOperator::new).toList();
    private Optional<String> troubled = Optional.empty();
    private int wiped;
    private long thaw;
    private long callNumber;

    OrderStorm(final long seed, final int copies, final Safeguards standing) {
        this.seed = seed;
        this.copies = copies;
        random = new Random(seed);
        cluster = new ReplicaCluster(
                SEEDS,
                1_000 + random.nextInt(60_000),
                s -> s.withCounts(copies, 6).withSafeguards(standing));
    }

    /** One order as the operator wrote it; every call of it is the same to the letter. */
    private static final class Order {
        private final Command.PutConfiguration document;
        private final boolean invalid;
        private int acknowledgements;
        private int refusals;
        private boolean clear;
        private long nextAt;

        Order(final Command.PutConfiguration document, final boolean invalid) {
            this.document = document;
            this.invalid = invalid;
        }

        long number() {
            return document.configuration().number();
        }

        @Override
        public String toString() {
            return document.document() + " on " + document.expectedRevision() + (invalid ? " (invalid)" : "") + ": "
                    + acknowledgements + " acknowledged, " + refusals + " refused";
        }
    }

    private record Call(Order order, ReplicaCluster.PendingCall asked, boolean heard, int operator) {}

    private record Readback(ReplicaCluster.PendingCall asked, long least) {}

    long acknowledged() {
        return orders.stream().filter(o -> o.acknowledgements > 0).count();
    }

    long refused() {
        return orders.stream().filter(o -> o.refusals > 0).count();
    }

    long repeated() {
        return orders.stream().filter(o -> o.acknowledgements > 1).count();
    }

    void run() {
        SIX.forEach(s -> cluster.start(s, true));
        cluster.advance(20 * SECOND);
        for (int i = 0; i < STEPS; i++) {
            fault();
            write();
            zoneOperators.forEach(ZoneOperator::act);
            reads.add(new Readback(cluster.read(anyRunning(), CALL), newest()));
            cluster.advance(20_000L + random.nextInt(300_000));
            check();
        }
        recover();
        sendEachAgain();
        readBack();
    }

    /** A machine that runs; every second time the one that was last cut off or slowed. */
    private String anyRunning() {
        if (troubled.filter(cluster.running()::contains).isPresent() && random.nextBoolean()) {
            return troubled.get();
        }
        final List<String> all = cluster.running().stream().sorted().toList();
        return all.get(random.nextInt(all.size()));
    }

    private boolean isChainComplete() {
        return cluster.running().size() == 6
                && SIX.stream().allMatch(s -> {
                    final ReplicaStatus status = cluster.replica(s).status(cluster.now());
                    return status.isCaughtUp() && status.view().chain().size() == 6;
                });
    }

    private void fault() {
        final String one = SIX.get(random.nextInt(6));
        final String other = SIX.get(random.nextInt(6));
        if (isChainComplete()) {
            wiped = 0;
        }
        switch (random.nextInt(18)) {
            case 0, 1 -> {
                if (mayLoseOne()) {
                    cluster.kill(one);
                }
            }
            case 2 -> {
                if (cluster.running().contains(one) && mayLoseOne() && wiped < copies - 1) {
                    wiped++;
                    cluster.kill(one);
                    cluster.loseDisk(one);
                }
            }
            case 3 -> {
                if (!one.equals(other)) {
                    cluster.cut(one, other, true);
                }
            }
            case 4 ->
                head().filter(h -> !h.equals(one)).ifPresent(h -> {
                    troubled = Optional.of(one);
                    cluster.slow(one, h, SECOND + random.nextInt(9_000_000));
                });
            case 5 -> isolate(random.nextBoolean() ? one : head().orElse(one));
            case 13 -> split();
            case 16 -> {
                final String frozen = random.nextBoolean() ? one : head().orElse(one);
                if (cluster.running().contains(frozen) && cluster.now() >= thaw && mayLoseOne()) {
                    troubled = Optional.of(frozen);
                    final long span = 200_000 + random.nextInt(20_000_000);
                    thaw = cluster.now() + span;
                    cluster.freeze(frozen, span);
                }
            }
            case 6, 7, 14, 15, 17 -> {
                cluster.heal();
                troubled = Optional.empty();
            }
            case 8 -> {
                if (random.nextInt(4) == 0) {
                    List.copyOf(cluster.running()).forEach(cluster::kill);
                    cluster.advance(random.nextInt(500_000));
                    SIX.forEach(s -> cluster.start(s, false));
                }
            }
            case 9 -> killTheHead();
            case 10, 11, 12 ->
                SIX.stream()
                        .filter(s -> !cluster.running().contains(s))
                        .findFirst()
                        .ifPresent(s -> cluster.start(s, false));
            default -> {}
        }
    }

    private Optional<String> head() {
        return cluster.replica(anyRunning()).view().head().map(Replica::address).filter(cluster.running()::contains);
    }

    /** At most two machines are down or frozen at a time. */
    private boolean mayLoseOne() {
        return cluster.running().size() - (cluster.now() < thaw ? 1 : 0) > 4;
    }

    private void killTheHead() {
        head().filter(h -> mayLoseOne()).ifPresent(cluster::kill);
    }

    /** Two parts that don't hear each other. */
    private void split() {
        final Set<String> part = SIX.stream().filter(s -> random.nextBoolean()).collect(Collectors.toSet());
        part.forEach(s -> SIX.stream().filter(t -> !part.contains(t)).forEach(t -> cluster.cut(s, t, true)));
    }

    private void isolate(final String address) {
        troubled = Optional.of(address);
        SIX.stream().filter(s -> !s.equals(address)).forEach(s -> cluster.cut(address, s, true));
    }

    /** Sends what is due again, and draws new orders, each to another machine, until eight are under way. */
    private void write() {
        final long now = cluster.now();
        for (final Order order : orders) {
            if (!order.clear && order.nextAt <= now && calls.size() < MAX_IN_FLIGHT) {
                send(order, random.nextInt(2), true);
            }
        }
        final int fresh = random.nextInt(6) == 0 ? MAX_IN_FLIGHT : random.nextInt(3);
        for (int i = 0; i < fresh && calls.size() < MAX_IN_FLIGHT; i++) {
            final int operator = random.nextInt(2);
            final Order order = drawn(operator);
            orders.add(order);
            send(order, operator, true);
        }
        if (!orders.isEmpty() && random.nextInt(3) == 0 && calls.size() < MAX_IN_FLIGHT) {
            send(orders.get(random.nextInt(orders.size())), random.nextInt(2), true);
        }
    }

    private Order drawn(final int operator) {
        final long base = known[operator];
        final long number = base + 1 + random.nextInt(2);
        return switch (random.nextInt(14)) {
            case 0 -> made(number, base, "no service", "other", 1, 1_000, 1);
            case 1 -> made(number, base, "same place", "pool", 1, 1_000, 2);
            case 2 -> made(number, base, "no weight", "pool", 0, 1_000, 1);
            case 3 -> made(number, base, "no timeout", "pool", 1, 0, 1);
            case 4 -> made(base, base, "same version", "pool", 1, 1_000, 1);
            case 5 -> made(Math.max(0, base - 1), base, "old version", "pool", 1, 1_000, 1);
            case 6 -> made(number, Math.max(0, base - 1), "", "pool", 1, 1_000, 1);
            case 7 -> made(number + 1, number, "", "pool", 1, 1_000, 1);
            default -> made(number, base, "", "pool", 1, 1_000, 1);
        };
    }

    private Order made(
            final long number,
            final long match,
            final String fault,
            final String pool,
            final int weight,
            final long hold,
            final int routes) {
        final List<Value.Route> rules = new ArrayList<>();
        for (int i = 0; i < routes; i++) {
            rules.add(new Value.Route(
                    "rule " + i,
                    "host" + number,
                    "/",
                    false,
                    false,
                    false,
                    false,
                    hold,
                    0,
                    0,
                    0,
                    1,
                    List.of(),
                    List.of(new Value.WeightedBackend(pool, weight))));
        }
        return new Order(
                new Command.PutConfiguration(
                        "",
                        new Value.RoutingConfiguration(number, 1, 1, 1, 1),
                        rules,
                        List.of(new Value.BackendPool("pool", "/", 1, 0, 1, 1, 0, 1)),
                        "document " + orders.size() + " number " + number + " " + fault,
                        match),
                !fault.isEmpty());
    }

    private void send(final Order order, final int operator, final boolean mayBeLost) {
        final Command.PutConfiguration document = order.document;
        final Command.PutConfiguration call = new Command.PutConfiguration(
                "call-" + ++callNumber,
                document.configuration(),
                document.routes(),
                document.pools(),
                document.document(),
                document.expectedRevision());
        final boolean heard = !mayBeLost || random.nextInt(10) >= LOST_IN_TEN;
        order.nextAt = cluster.now() + SECOND + random.nextInt(random.nextInt(4) == 0 ? 30_000_000 : 1_000_000);
        calls.add(new Call(order, cluster.submit(anyRunning(), call, CALL), heard, operator));
    }

    private long newest() {
        return orders.stream()
                .filter(o -> o.acknowledgements > 0)
                .mapToLong(Order::number)
                .max()
                .orElse(0);
    }

    private void fail(final String what) {
        throw new AssertionError("seed " + seed + ", copies " + copies + ", at " + cluster.now() + ": " + what + "\n"
                + String.join("\n", orders.stream().map(Order::toString).toList()) + cluster);
    }

    private void check() {
        calls.removeIf(c -> {
            c.asked().answer().ifPresent(a -> answered(c, a));
            return c.asked().answer().isPresent() || cluster.now() - c.asked().calledAt() > SECOND;
        });
        zoneOperators.forEach(ZoneOperator::check);
        reads.removeIf(r -> {
            r.asked().answer().ifPresent(a -> checkRead(r, (ChainClient.ReadResult) a));
            return r.asked().answer().isPresent();
        });
        cluster.running().forEach(this::checkCommitted);
        checkAcknowledged();
    }

    private void answered(final Call call, final Object answer) {
        final Order order = call.order();
        if (answer instanceof CommandResult.Applied) {
            order.acknowledgements++;
            if (order.invalid) {
                fail("an invalid order was acknowledged: " + order);
            }
        }
        if (answer instanceof CommandResult.Rejected) {
            order.refusals++;
        }
        if (order.acknowledgements > 0 && order.refusals > 0) {
            fail("acknowledged and refused: " + order + ", the last answer " + answer);
        }
        if (call.heard() && !(answer instanceof CommandResult.Unknown)) {
            order.clear = true;
            if (answer instanceof CommandResult.Applied) {
                known[call.operator()] = Math.max(known[call.operator()], order.number());
            }
        }
    }

    private Optional<Order> written(final String text) {
        return orders.stream().filter(o -> o.document.document().equals(text)).findFirst();
    }

    private void checkRead(final Readback read, final ChainClient.ReadResult page) {
        if (!page.answered()) {
            return;
        }
        final Optional<Value.ConfigurationDocument> document = page.entries().stream()
                .filter(e -> !e.isDeleted())
                .map(e -> (Value.ConfigurationDocument) e.value().get(0))
                .findFirst();
        final long number = document.map(Value.ConfigurationDocument::number).orElse(0L);
        if (number < read.least()) {
            fail("a read gave " + number + " after " + read.least() + " was acknowledged");
        }
        document.ifPresent(d -> tookEffect(d.text(), d.number()));
        for (int operator = 0; operator < known.length; operator++) {
            if (random.nextInt(4) > 0) {
                known[operator] = Math.max(known[operator], number);
            }
        }
    }

    private void tookEffect(final String text, final long number) {
        final Optional<Order> order = written(text);
        if (order.isEmpty() || order.get().number() != number) {
            fail("nobody wrote " + text + " under " + number);
        }
        if (order.get().invalid || order.get().refusals > 0) {
            fail("in force though invalid or refused: " + order.get());
        }
        final String other = committed.putIfAbsent(number, text);
        if (other != null && !other.equals(text)) {
            fail("two documents under " + number + ": " + other + " and " + text);
        }
    }

    private void checkCommitted(final String address) {
        cluster.replica(address)
                .stateMachine()
                .get(ConfigurationValidator.DOCUMENT_KEY)
                .map(Entry::value)
                .map(l -> (Value.ConfigurationDocument) l.get(0))
                .ifPresent(d -> tookEffect(d.text(), d.number()));
    }

    /** Acknowledged orders span from what they build on to their number; no two spans overlap. */
    private void checkAcknowledged() {
        final List<Order> taken =
                orders.stream().filter(o -> o.acknowledgements > 0).toList();
        for (final Order one : taken) {
            for (final Order other : taken) {
                if (one != other
                        && one.document.expectedRevision() < other.number()
                        && other.number() <= one.number()) {
                    fail("both acknowledged: " + one + " and " + other);
                }
            }
            if (committed.containsKey(one.number())
                    && !committed.get(one.number()).equals(one.document.document())) {
                fail("acknowledged, but another is in force under its number: " + one);
            }
        }
    }

    private void recover() {
        cluster.heal();
        SIX.stream().filter(s -> !cluster.running().contains(s)).forEach(s -> cluster.start(s, false));
        cluster.advance(40 * SECOND);
        check();
    }

    private void sendEachAgain() {
        for (final Order order : orders) {
            for (int tries = 0; tries < 2; tries++) {
                send(order, 0, false);
                final Call call = calls.get(calls.size() - 1);
                cluster.advance(SECOND);
                if (call.asked()
                        .answer()
                        .filter(a -> !(a instanceof CommandResult.Unknown))
                        .isEmpty()) {
                    fail("no clear answer in a calm time: " + order + " "
                            + call.asked().answer());
                }
                check();
            }
        }
    }

    private void readBack() {
        final ReplicaCluster.PendingCall document = cluster.read(anyRunning(), CALL);
        zoneOperators.forEach(ZoneOperator::read);
        cluster.advance(SECOND);
        checkRead(new Readback(document, newest()), (ChainClient.ReadResult) document.reply());
        zoneOperators.forEach(ZoneOperator::check);
    }

    private record ZoneRead(ReplicaCluster.PendingCall asked, ZoneOrder newest) {}

    private static final class ZoneOrder {
        private final boolean on;
        private Optional<ReplicaCluster.PendingCall> call = Optional.empty();
        private boolean heard;
        private boolean acknowledged;

        ZoneOrder(final boolean on) {
            this.on = on;
        }
    }

    /** Empties a zone and takes that back by turns; each order is sent again until it is acknowledged. */
    private final class ZoneOperator {
        private final String zone;
        private final List<ZoneOrder> sent = new ArrayList<>();
        private final List<ZoneRead> zoneReads = new ArrayList<>();

        ZoneOperator(final String zone) {
            this.zone = zone;
        }

        void act() {
            if (sent.isEmpty() || last().acknowledged && random.nextInt(3) == 0) {
                sent.add(new ZoneOrder(sent.size() % 2 == 0));
            }
            read();
            if (!last().acknowledged && last().call.isEmpty()) {
                last().heard = random.nextBoolean();
                last().call = Optional.of(cluster.submit(
                        anyRunning(),
                        new Command.SetEvacuation(
                                "zone-" + ++callNumber, zone, last().on, Command.SetEvacuation.LATEST),
                        CALL));
            }
        }

        void read() {
            if (last().acknowledged) {
                zoneReads.add(new ZoneRead(cluster.read(anyRunning(), "z/" + zone, CALL), last()));
            }
        }

        void check() {
            sent.stream().filter(z -> z.call.isPresent()).forEach(this::answered);
            zoneReads.removeIf(r -> {
                r.asked().answer().ifPresent(a -> checkZone(r, (ChainClient.ReadResult) a));
                return r.asked().answer().isPresent();
            });
        }

        private ZoneOrder last() {
            return sent.get(sent.size() - 1);
        }

        private void answered(final ZoneOrder order) {
            final ReplicaCluster.PendingCall call = order.call.orElseThrow();
            if (call.answer().filter(CommandResult.Rejected.class::isInstance).isPresent()) {
                fail("an evacuation was refused: " + call.reply());
            }
            if (call.answer().isPresent() || cluster.now() - call.calledAt() > SECOND) {
                order.acknowledged |= call.isAcknowledged() && order.heard;
                order.call = Optional.empty();
            }
        }

        /** A read that began after an order was acknowledged gives it, unless a newer one was sent meanwhile. */
        private void checkZone(final ZoneRead read, final ChainClient.ReadResult page) {
            final List<Boolean> on = page.entries().stream()
                    .map(e -> ((Value.Evacuation) e.value().get(0)).active())
                    .toList();
            if (page.answered() && read.newest() == last() && !on.equals(List.of(read.newest().on))) {
                fail("the zone stands at " + on + ", acknowledged was " + read.newest().on);
            }
        }
    }
}
