package silverlatch.log;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import silverlatch.clock.Stamp;
import silverlatch.node.Effect;
import silverlatch.replication.ChainReplica;
import silverlatch.replication.Replica;
import silverlatch.replication.ReplicaSettings;
import silverlatch.state.Command;
import silverlatch.state.Value;
import silverlatch.wire.ChainClientMessage;
import silverlatch.wire.Message;

/**
 * Generates the data directories of {@link DataFolderCompatibilityTest}. Three replicas on a simulated clock, each with a
 * real log in a separate directory, go through bootstrap, commands of every kind, a view without one of them, its repair from
 * a peer, and an interrupted view change. Two runs of the same sources write the same bytes.
 */
final class DataFolderGenerator {
    static final List<String> ADDRESSES = List.of("a:1", "b:1", "c:1");
    private static final String CLIENT = "client:1";
    private static final long STEP_MICROS = 20_000;
    private static final long SETTLE_MICROS = 100_000;
    private static final long MAX_WAIT_MICROS = 60_000_000;
    private final Path parent;
    private final Map<String, Machine> running = new LinkedHashMap<>();
    private final Deque<Delivery> network = new ArrayDeque<>();
    private final List<ChainClientMessage.WriteReply> replies = new ArrayList<>();
    private final Map<String, Long> acceptedViews = new HashMap<>();
    private long nowMicros = 1_000_000;
    private long stamp = 1_000;
    private long requests;

    /** A message in flight. */
    private record Delivery(String from, String to, Message message) {}

    /** A running replica with its address and log. */
    private record Machine(String address, WriteAheadLog log, ChainReplica replica) {}

    private DataFolderGenerator(final Path parent) {
        this.parent = parent;
    }

    /** Writes the directories "a", "b" and "c" into an empty directory. */
    static void generate(final Path parent) throws IOException {
        new DataFolderGenerator(parent).run();
    }

    /** Returns the replica whose data directory has this name, a single letter. */
    static Replica replica(final String name) {
        return new Replica(name.repeat(16), name + ":1");
    }

    private void run() throws IOException {
        for (final String address : ADDRESSES) {
            start(address);
        }
        await(() -> isChainActive(3));
        for (final Command command : firstCommands()) {
            write(command);
        }
        stop("c:1");
        await(() -> isChainActive(2));
        write(configuration(2, 1));
        write(new Command.SetEvacuation("evacuate-2", "zone-2", true, -1));
        start("c:1");
        await(() -> isChainActive(3));
        for (final Command command : lastCommands()) {
            write(command);
        }
        stop("b:1");
        send(new Command.SetEvacuation("pending", "zone-3", true, -1));
        await(this::isProposalAccepted);
        for (final String address : List.copyOf(running.keySet())) {
            stop(address);
        }
    }

    /** Returns the commands submitted before the third machine fails; the last one is rejected. */
    static List<Command> firstCommands() {
        return List.of(
                new Command.PutTenant("tenant-1", tenant("acme"), -1),
                new Command.PutTenant("tenant-2", tenant("gone"), -1),
                new Command.PutTable("table-1", List.of(row("*"), row("acme")), -1),
                configuration(1, 0),
                new Command.SetEvacuation("evacuate-1", "zone-1", true, -1),
                new Command.PutSchedule("schedule-1", schedule(), -1),
                new Command.Claim("claim-1", "key-1", "request-1", "gateway-1", 31),
                new Command.Claim("claim-2", "key-2", "request-2", "gateway-1", 32),
                new Command.CompleteClaim("end-2", "key-2", "request-2", "gateway-1", "done", 32),
                new Command.AdvanceEpoch("epoch-1", 1, 1),
                new Command.RemoveTenant("tenant-3", "gone", -1),
                new Command.RemoveTenant("tenant-4", "nobody", -1));
    }

    /** Returns the commands submitted after the third machine's repair. */
    static List<Command> lastCommands() {
        return List.of(
                new Command.SetEvacuation("evacuate-3", "zone-1", false, -1),
                new Command.PatchTable(
                        "table-2",
                        List.of(
                                new Command.Cell("acme", "chat", "rate", "75"),
                                new Command.Cell("*", "chat", "rank", "2")),
                        -1),
                new Command.Claim("claim-3", "key-3", "request-3", "gateway-2", 33),
                configuration(3, 2));
    }

    static Value.Tenant tenant(final String name) {
        return new Value.Tenant(name, List.of("attica", "crete"), 0.5, "0123456789abcdef".repeat(4), "salt");
    }

    static Value.Row row(final String tenant) {
        return new Value.Row(tenant, "chat", 1, 2, 0.25, 0.75, 50, 100, 32, 64, 2_000_000, true, 1);
    }

    static Value.Schedule schedule() {
        return new Value.Schedule(
                "night", "0 0 * * *", List.of(new Command.Cell("acme", "chat", "queue", "8")), "zone-1", true);
    }

    static Value.Route route(final long number) {
        return new Value.Route(
                "route",
                "host-" + number,
                "/v1/",
                true,
                false,
                true,
                false,
                2_000_000,
                250_000,
                100_000,
                1,
                3,
                List.of("attica"),
                List.of(new Value.WeightedBackend("pool", 6)));
    }

    static Value.BackendPool pool() {
        return new Value.BackendPool("pool", "/health/", 8, 1_000_000, 2.5, 16, 100_000, 4);
    }

    /** Returns a command that replaces one routing configuration by another; the number determines the host of its route. */
    static Command.PutConfiguration configuration(final long number, final long base) {
        return new Command.PutConfiguration(
                "configuration-" + number,
                new Value.RoutingConfiguration(number, 8_192, 65_536, 5_000_000, 6_000_000),
                List.of(route(number)),
                List.of(pool()),
                "the text of configuration " + number,
                base);
    }

    /** Starts a machine; a new directory gets a fixed identity, so that all runs write the same bytes. */
    private void start(final String address) throws IOException {
        final String name = address.substring(0, 1);
        final Path folder = parent.resolve(name);
        if (!Files.exists(folder)) {
            ((WriteAheadLog.OpenResult.Success) WriteAheadLog.open(folder))
                    .log()
                    .close();
            Files.write(folder.resolve("identity"), replica(name).id().getBytes(StandardCharsets.US_ASCII));
        }
        final WriteAheadLog.OpenResult.Success opened = (WriteAheadLog.OpenResult.Success) WriteAheadLog.open(folder);
        final ChainReplica replica = new ChainReplica(
                ReplicaSettings.of(replica(name), ADDRESSES).withBootstrap(opened.mayBootstrap()),
                opened.records(),
                () -> new Stamp(++stamp),
                nowMicros);
        running.put(address, new Machine(address, opened.log(), replica));
    }

    private void stop(final String address) throws IOException {
        running.remove(address).log().close();
    }

    private boolean isChainActive(final int members) {
        return running.size() == members
                && running.values().stream()
                        .map(machine -> machine.replica().status(nowMicros))
                        .allMatch(state -> state.isCaughtUp()
                                && state.isLeased()
                                && state.view().chain().size() == members);
    }

    /** Returns whether each running machine has accepted a proposal for the next view and none has installed that view. */
    private boolean isProposalAccepted() {
        return running.values().stream()
                .allMatch(machine -> acceptedViews.getOrDefault(machine.address(), 0L)
                        == machine.replica().view().number() + 1);
    }

    private void write(final Command command) throws IOException {
        final long request = send(command);
        await(() -> replies.stream().anyMatch(reply -> reply.requestId() == request));
        final long end = nowMicros + SETTLE_MICROS;
        await(() -> nowMicros >= end);
    }

    private long send(final Command command) {
        network.add(new Delivery(
                CLIENT, ADDRESSES.get(0), new ChainClientMessage.WriteRequest(++requests, CLIENT, command)));
        return requests;
    }

    /** Delivers messages one by one, and advances time when there are none, until a condition holds. */
    private void await(final BooleanSupplier condition) throws IOException {
        final long end = nowMicros + MAX_WAIT_MICROS;
        while (!condition.getAsBoolean()) {
            if (nowMicros > end) {
                throw new AssertionError("condition not met within " + MAX_WAIT_MICROS + " microseconds");
            }
            if (network.isEmpty()) {
                tick();
            } else {
                deliver(network.poll());
            }
        }
    }

    private void tick() throws IOException {
        nowMicros += STEP_MICROS;
        for (final Machine machine : List.copyOf(running.values())) {
            machine.replica().tick(nowMicros);
            perform(machine);
        }
    }

    private void deliver(final Delivery delivery) throws IOException {
        if (delivery.to().equals(CLIENT)) {
            replies.add((ChainClientMessage.WriteReply) delivery.message());
        } else if (running.containsKey(delivery.to())) {
            final Machine machine = running.get(delivery.to());
            machine.replica().onMessage(delivery.message(), delivery.from(), nowMicros);
            perform(machine);
        }
    }

    private void perform(final Machine machine) throws IOException {
        for (List<Effect> effects = machine.replica().drain();
                !effects.isEmpty();
                effects = machine.replica().drain()) {
            for (final Effect effect : effects) {
                if (effect instanceof Effect.Send send) {
                    network.add(new Delivery(machine.address(), send.to(), send.message()));
                } else if (effect instanceof Effect.Persist persist) {
                    machine.log().write(persist.records());
                    persist.records().forEach(written -> recordAcceptedView(machine.address(), written));
                    machine.replica().onSynced(persist.token(), nowMicros);
                }
            }
        }
    }

    private void recordAcceptedView(final String address, final LogRecord written) {
        if (written instanceof LogRecord.Accepted accepted) {
            acceptedViews.put(address, accepted.viewNumber());
        }
    }
}
