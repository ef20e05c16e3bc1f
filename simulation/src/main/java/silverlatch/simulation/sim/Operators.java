package silverlatch.simulation.sim;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongConsumer;
import java.util.function.LongFunction;
import silverlatch.dispatch.permit.PermitSigner;
import silverlatch.replication.ChainClient;
import silverlatch.simulation.fleet.Plan;
import silverlatch.state.Command;
import silverlatch.state.CommandResult;
import silverlatch.state.Entry;
import silverlatch.state.TableRules;
import silverlatch.state.Value;

/** The operators of a simulated day: two at once at times, who read, change, race, and are told what came of it. */
final class Operators {
    /** The kind whose row is the gate: tickets of it bear no key, and its cell "once" asks for one or not. */
    static final String GATE_KIND = "trial";

    private static final long SECOND = 1_000_000L;
    private static final long GATE_INTERVAL = 7 * SECOND;
    private final World world;
    private final Observer observer;
    private final ConfigurationOperators configurations;
    private final Map<String, Deque<Runnable>> queuesByKey = new HashMap<>();
    private long nextValue = 1_000;
    private long nextCommand;
    private boolean open = true;
    private boolean stopped;
    private boolean lastChangeApplied;
    private int lastReadsAnswered;
    private Optional<Runnable> afterAcknowledgement = Optional.empty();

    Operators(final World world) {
        this.world = world;
        this.observer = world.observer();
        this.configurations = new ConfigurationOperators(world);
    }

    /** The operators of routing configurations. */
    ConfigurationOperators configurations() {
        return configurations;
    }

    /** The value of a marked cell. */
    static String cellValue(final double rate) {
        return "" + rate;
    }

    void stop() {
        stopped = true;
    }

    /** Gives the fleet its tenants and its first table. */
    void loadTenantsAndTable() {
        final SimulatedNode controller = world.controllers().get(0);
        for (final Plan.Tenant tenant : world.plan().tenants()) {
            final Runnable acknowledge = observer.operatorHistory()
                    .homesRequested(
                            tenant.name(),
                            Set.copyOf(tenant.homeRegions()),
                            false,
                            world.scheduler().now());
            controller.submit(
                    new Command.PutTenant("load-" + tenant.name(), tenantValue(tenant, tenant.homeRegions()), -1),
                    4 * SECOND,
                    result -> acknowledge.run());
        }
        world.scheduler().runUntil(world.scheduler().now() + 2 * SECOND);
        final Runnable acknowledge =
                observer.operatorHistory().gate(true, world.scheduler().now());
        controller.submit(new Command.PutTable("load-table", rows(900, false), -1), 4 * SECOND, result -> {
            if (result instanceof CommandResult.Applied applied) {
                observer.operatorHistory()
                        .changeEnded(
                                cellValue(900),
                                "kept",
                                applied.sequence(),
                                -1,
                                world.scheduler().now());
                acknowledge.run();
            }
        });
        world.scheduler().runUntil(world.scheduler().now() + 2 * SECOND);
    }

    /** Begins to read, to change and to turn the gate. */
    void start() {
        readAndEdit();
        world.scheduler().schedule(3 * SECOND, this::toggleGate);
    }

    private void readAndEdit() {
        if (stopped) {
            return;
        }
        randomController().ifPresent(controller -> {
            final long newestBefore = observer.operatorHistory().newestAcknowledged();
            final boolean wasComplete = world.isChainComplete();
            readTable(controller, "r/", page -> {
                final Set<String> values = new HashSet<>();
                page.entries()
                        .forEach(e ->
                                e.value().forEach(l -> values.add(cellValue(((Value.Row) l).requestsPerSecond()))));
                observer.operatorHistory()
                        .tableRead(newestBefore, page.sequence(), values, !wasComplete || !world.isChainComplete());
                final boolean gateShut = page.entries().stream()
                        .flatMap(e -> e.value().stream())
                        .anyMatch(l -> l instanceof Value.Row row && row.kind().equals(GATE_KIND) && row.atMostOnce());
                editTable(
                        controller,
                        randomController().orElse(controller),
                        page.entries().stream().mapToLong(Entry::sequence).max().orElse(0),
                        gateShut);
            });
        });
        world.scheduler().schedule(SECOND / 2 + world.scheduler().random().nextLong(SECOND), this::readAndEdit);
    }

    private void editTable(
            final SimulatedNode first, final SimulatedNode second, final long match, final boolean gateShut) {
        changeTable(first, match, gateShut);
        if (world.scheduler().random().nextInt(3) == 0) {
            changeTable(second, match, gateShut);
        }
        if (world.scheduler().random().nextInt(6) == 0) {
            final double value = ++nextValue;
            final List<Value.Row> rows = new ArrayList<>(rows(value, gateShut));
            rows.add(TableRules.defaultRow("nobody-at-all", "quick"));
            first.submit(
                    new Command.PutTable("bad-" + (long) value, rows, -1),
                    3 * SECOND,
                    result -> recordOutcome(value, result, -1));
        }
    }

    private void changeTable(final SimulatedNode controller, final long match, final boolean gateShut) {
        final double value = ++nextValue;
        final Command command = world.scheduler().random().nextInt(4) == 0
                ? new Command.PutTable("put-" + (long) value, rows(value, gateShut), match)
                : new Command.PatchTable(
                        "set-" + (long) value,
                        List.of(new Command.Cell(
                                "*", world.randomOf(world.plan().kinds()).kind(), "rate", cellValue(value))),
                        match);
        controller.submit(command, 3 * SECOND, result -> recordOutcome(value, result, match));
    }

    private void recordOutcome(final double value, final Object result, final long match) {
        final long now = world.scheduler().now();
        switch ((CommandResult) result) {
            case CommandResult.Applied applied -> {
                observer.operatorHistory().changeEnded(cellValue(value), "kept", applied.sequence(), match, now);
                final Optional<Runnable> task = afterAcknowledgement;
                afterAcknowledgement = Optional.empty();
                task.ifPresent(t -> world.scheduler().schedule(0, t));
            }
            case CommandResult.Rejected x ->
                observer.operatorHistory().changeEnded(cellValue(value), "rejected", x.sequence(), match, now);
            case CommandResult.Unknown u ->
                observer.operatorHistory().changeEnded(cellValue(value), "unknown", 0, match, now);
            case CommandResult.AlreadyClaimed s ->
                observer.operatorHistory().changeEnded(cellValue(value), "stands", 0, match, now);
        }
    }

    /** Does something at the moment at which the next change of the table is acknowledged to an operator. */
    void afterAcknowledgement(final Runnable task) {
        afterAcknowledgement = Optional.of(task);
    }

    /** The gate is turned; the next turn comes when this one is acknowledged and a while has passed. */
    private void toggleGate() {
        if (stopped) {
            return;
        }
        open = !open;
        final boolean nowOpen = open;
        final Runnable acknowledge =
                observer.operatorHistory().gate(nowOpen, world.scheduler().now());
        submitUntilApplied(
                "r/",
                "",
                m -> new Command.PatchTable(
                        "gate-" + ++nextCommand, List.of(new Command.Cell("*", GATE_KIND, "once", "" + !nowOpen)), m),
                sequence -> {
                    acknowledge.run();
                    observer.count("gates");
                    world.scheduler()
                            .schedule(GATE_INTERVAL + world.scheduler().random().nextLong(SECOND), this::toggleGate);
                });
    }

    /** Orders a zone empty or gives it back, through some controller, until it is acknowledged. */
    void drain(final String zone, final boolean drain) {
        world.record((drain ? "drain " : "undrain ") + zone);
        if (drain) {
            observer.operatorHistory().drainRequested(zone, world.scheduler().now());
        } else {
            observer.operatorHistory().drainWithdrawn(zone);
        }
        submitUntilApplied(
                "z/",
                "z/" + zone,
                m -> new Command.SetEvacuation("zone-" + ++nextCommand, zone, drain, m),
                sequence -> {
                    world.disturbances().happened();
                    if (drain) {
                        observer.count("drains");
                        observer.operatorHistory()
                                .drainAcknowledged(zone, world.scheduler().now());
                    }
                });
    }

    /** Two operators race: one empties the zone, the other gives it back, against the same sequence. */
    void raceOnZone(final String zone) {
        enqueue("z/" + zone, done -> {
            world.record("race on " + zone);
            observer.operatorHistory().drainWithdrawn(zone);
            final boolean[] ended = {false};
            final Runnable finish = () -> {
                if (!ended[0]) {
                    ended[0] = true;
                    done.run();
                }
            };
            world.scheduler().schedule(8 * SECOND, finish);
            randomController().ifPresent(first -> submitRivals(zone, first, ended, finish));
        });
    }

    private void submitRivals(
            final String zone, final SimulatedNode first, final boolean[] ended, final Runnable finish) {
        readTable(first, "z/", page -> {
            if (ended[0]) {
                return;
            }
            final long match = sequenceOf(page, "z/" + zone);
            final long requestedAt = world.scheduler().now();
            final List<Object> results = new ArrayList<>();
            final SimulatedNode second = randomController().orElse(first);
            final boolean firstDrains = world.scheduler().random().nextBoolean();
            final CommandResult[] drainResult = {new CommandResult.Unknown("")};
            final CommandResult[] undrainResult = {new CommandResult.Unknown("")};
            final Runnable judgeResults = () -> {
                if (ended[0] || results.size() < 2) {
                    return;
                }
                observer.count("races");
                observer.exercise(Invariant.LOSER);
                if (drainResult[0] instanceof CommandResult.Applied
                        && undrainResult[0] instanceof CommandResult.Applied) {
                    observer.violated(
                            Invariant.LOSER,
                            "an order to empty " + zone + " and one to give it back were both kept against " + match);
                }
                if (drainResult[0] instanceof CommandResult.Applied
                        && undrainResult[0] instanceof CommandResult.Rejected) {
                    observer.operatorHistory().drainRequested(zone, requestedAt);
                    observer.operatorHistory()
                            .drainAcknowledged(zone, world.scheduler().now());
                }
                finish.run();
            };
            for (final boolean drains : new boolean[] {firstDrains, !firstDrains}) {
                (drains ? first : second)
                        .submit(
                                new Command.SetEvacuation("race-" + ++nextCommand, zone, drains, match),
                                3 * SECOND,
                                result -> {
                                    (drains ? drainResult : undrainResult)[0] = (CommandResult) result;
                                    results.add(result);
                                    judgeResults.run();
                                });
            }
        });
    }

    /** A tenant's homes are changed while its tickets queue, run, and are kept to be read again. */
    void changeHomes(final Plan.Tenant tenant, final List<String> homes) {
        world.record("homes of " + tenant.name() + " become " + homes);
        final Runnable acknowledge = observer.operatorHistory()
                .homesRequested(
                        tenant.name(),
                        Set.copyOf(homes),
                        false,
                        world.scheduler().now());
        submitUntilApplied(
                "t/",
                "t/" + tenant.name(),
                m -> new Command.PutTenant("move-" + ++nextCommand, tenantValue(tenant, homes), m),
                sequence -> {
                    acknowledge.run();
                    world.disturbances().happened();
                    observer.count("homeMoves");
                });
    }

    /** A tenant is taken away. */
    void removeTenant(final Plan.Tenant tenant) {
        world.record("tenant " + tenant.name() + " is taken away");
        final Runnable acknowledge = observer.operatorHistory()
                .homesRequested(tenant.name(), Set.of(), true, world.scheduler().now());
        submitUntilApplied(
                "t/",
                "t/" + tenant.name(),
                m -> new Command.RemoveTenant("drop-" + ++nextCommand, tenant.name(), m),
                sequence -> {
                    acknowledge.run();
                    world.disturbances().happened();
                    observer.count("drops");
                });
    }

    /** The table grows by so many rows, a part of them at a time. */
    void growTable(final int rows) {
        world.record("the table grows by " + rows + " rows");
        final List<Command.Cell> cells = new ArrayList<>();
        for (int i = 0; i < rows; i++) {
            cells.add(new Command.Cell(
                    world.plan()
                            .tenants()
                            .get(i % world.plan().tenants().size())
                            .name(),
                    "kind" + i,
                    "rate",
                    cellValue(900)));
        }
        for (int i = 0; i < rows; i += 1_000) {
            final List<Command.Cell> batch = cells.subList(i, Math.min(rows, i + 1_000));
            submitUntilApplied(
                    "r/",
                    "",
                    m -> new Command.PatchTable("grow-" + ++nextCommand, batch, -1),
                    s -> observer.count("grown"));
        }
    }

    /**
     * Reads the table back through every controller that is up, and changes it once more, at the end of a day.
     *
     * @param commandId the id of the change; a second change of a day needs another
     */
    void readBackAndChange(final String commandId) {
        lastChangeApplied = false;
        lastReadsAnswered = 0;
        final long newestBefore = observer.operatorHistory().newestAcknowledged();
        configurations.readBack();
        world.controllers().stream()
                .filter(SimulatedNode::isAlive)
                .forEach(controller -> readTable(controller, "r/", page -> {
                    observer.count("lastReads");
                    lastReadsAnswered++;
                    observer.operatorHistory().tableRead(newestBefore, page.sequence(), Set.of(), false);
                }));
        randomController()
                .ifPresent(controller -> controller.submit(
                        new Command.PatchTable(
                                commandId,
                                List.of(new Command.Cell(
                                        "*", world.plan().kinds().get(0).kind(), "rate", cellValue(950))),
                                -1),
                        4 * SECOND,
                        v -> lastChangeApplied = v instanceof CommandResult.Applied));
        world.scheduler().runUntil(world.scheduler().now() + 5 * SECOND);
    }

    /** How many controllers answered when the table was last read back. */
    int lastReadsAnswered() {
        return lastReadsAnswered;
    }

    /** Whether the last change was acknowledged. */
    boolean lastChangeApplied() {
        return lastChangeApplied;
    }

    /** Orders on one thing go one after another: the next is asked for when the one before is kept. */
    private void submitUntilApplied(
            final String prefix,
            final String key,
            final LongFunction<Command> command,
            final LongConsumer whenApplied) {
        if (key.isEmpty()) {
            attemptCommand(prefix, key, command, whenApplied);
            return;
        }
        enqueue(
                key,
                done -> attemptCommand(prefix, key, command, sequence -> {
                    whenApplied.accept(sequence);
                    done.run();
                }));
    }

    private void enqueue(final String key, final java.util.function.Consumer<Runnable> order) {
        final Deque<Runnable> queue = queuesByKey.computeIfAbsent(key, k -> new ArrayDeque<>());
        queue.add(() -> order.accept(() -> {
            queue.poll();
            Optional.ofNullable(queue.peek()).ifPresent(Runnable::run);
        }));
        if (queue.size() == 1) {
            queue.peek().run();
        }
    }

    /** Asks until it is kept; each time against the sequence just read, so that no earlier copy can come late. */
    private void attemptCommand(
            final String prefix,
            final String key,
            final LongFunction<Command> command,
            final LongConsumer whenApplied) {
        final Runnable retry =
                () -> world.scheduler().schedule(SECOND / 5, () -> attemptCommand(prefix, key, command, whenApplied));
        final Optional<SimulatedNode> controller = randomController();
        if (controller.isEmpty()) {
            retry.run();
            return;
        }
        final long askedIn = controller.get().generation();
        final boolean[] answered = {false};
        world.scheduler().schedule(8 * SECOND, () -> {
            if (!answered[0] && askedIn != controller.get().generation()) {
                answered[0] = true;
                retry.run();
            }
        });
        controller.get().read(prefix, 3 * SECOND, reply -> {
            if (answered[0]) {
                return;
            }
            if (!(reply instanceof ChainClient.ReadResult page) || !page.answered()) {
                answered[0] = true;
                retry.run();
                return;
            }
            final long match = key.isEmpty()
                    ? page.entries().stream().mapToLong(Entry::sequence).max().orElse(0)
                    : sequenceOf(page, key);
            controller.get().submit(command.apply(match), 3 * SECOND, result -> {
                if (!answered[0]) {
                    answered[0] = true;
                    if (result instanceof CommandResult.Applied applied) {
                        whenApplied.accept(applied.sequence());
                    } else {
                        retry.run();
                    }
                }
            });
        });
    }

    private void readTable(
            final SimulatedNode controller,
            final String prefix,
            final java.util.function.Consumer<ChainClient.ReadResult> then) {
        controller.read(prefix, 3 * SECOND, reply -> {
            if (reply instanceof ChainClient.ReadResult page && page.answered()) {
                then.accept(page);
            }
        });
    }

    private static long sequenceOf(final ChainClient.ReadResult page, final String key) {
        return page.entries().stream()
                .filter(e -> e.key().equals(key))
                .mapToLong(Entry::sequence)
                .findFirst()
                .orElse(0);
    }

    private Optional<SimulatedNode> randomController() {
        final List<SimulatedNode> running =
                world.controllers().stream().filter(SimulatedNode::isAlive).toList();
        return running.isEmpty() ? Optional.empty() : Optional.of(world.randomOf(running));
    }

    private List<Value.Row> rows(final double rate, final boolean gateShut) {
        final List<Value.Row> rows = new ArrayList<>(
                world.plan().kinds().stream().map(s -> row(s, rate)).toList());
        final Value.Row defaults = TableRules.defaultRow("*", GATE_KIND);
        rows.add(new Value.Row(
                "*",
                GATE_KIND,
                1,
                defaults.loadWeight(),
                defaults.warmupWeight(),
                defaults.localityWeight(),
                900,
                2_000,
                400,
                600,
                3_000_000,
                gateShut,
                1));
        return rows;
    }

    private static Value.Row row(final Plan.Kind kind, final double rate) {
        final Value.Row defaults = TableRules.defaultRow("*", kind.kind());
        return new Value.Row(
                "*",
                kind.kind(),
                kind.prefixParts() > 8 ? 3 : 1,
                defaults.loadWeight(),
                defaults.warmupWeight(),
                defaults.localityWeight(),
                rate,
                2_000,
                400,
                600,
                3_000_000,
                kind.atMostOnce(),
                kind.atMostOnce() ? 9 : 1);
    }

    private static Value.Tenant tenantValue(final Plan.Tenant tenant, final List<String> homes) {
        return new Value.Tenant(
                tenant.name(), homes, tenant.share(), PermitSigner.sha256Hex(tenant.key()), "salt-" + tenant.name());
    }
}
