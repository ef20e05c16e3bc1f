package silverlatch.simulation.sim;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import silverlatch.replication.ChainClient;
import silverlatch.simulation.fleet.Plan;
import silverlatch.state.Command;
import silverlatch.state.CommandResult;
import silverlatch.state.TableRules;
import silverlatch.state.Value;

/**
 * The operators of a simulated day, at times two at once. They read and change the table, drain zones and move tenants, and
 * report their requests and the replies to the observer. Each change of the table sets a request rate of its own, which
 * identifies the change in a table. Durations are microseconds.
 */
final class Operators {
    /**
     * The kind of request whose row is the gate. Its requests have no idempotency key, so that a gateway rejects them exactly
     * while the cell "once" of its table requires a key (the gate is shut). That shows which version of the table a gateway
     * uses.
     */
    static final String GATE_KIND = "trial";

    private static final long SECOND = 1_000_000L;
    private static final long GATE_INTERVAL = 7 * SECOND;
    private static final long LOAD_TIMEOUT = 4 * SECOND;
    /** A close arrives a round trip after what was sent before it. */
    private static final long MAX_CLOSE_DELAY = 80_000L;

    private static final int GROWTH_BATCH = 1_000;
    private static final String TABLE = "r/";
    private final World world;
    private final Observer observer;
    private final OperatorHistory history;
    private final CommandSubmitter submitter;
    private final ConfigurationOperators configurations;
    private long lastRate = 1_000;
    private long lastCommand;
    private boolean gateOpen = true;
    private boolean stopped;
    private boolean lastChangeApplied;
    private int lastReadsAnswered;
    private Optional<Runnable> afterAcknowledgement = Optional.empty();

    Operators(final World world) {
        this.world = world;
        this.observer = world.observer();
        this.history = observer.operatorHistory();
        this.submitter = new CommandSubmitter(world);
        this.configurations = new ConfigurationOperators(world);
    }

    /** Returns the operators of routing configurations. */
    ConfigurationOperators configurations() {
        return configurations;
    }

    CommandSubmitter submitter() {
        return submitter;
    }

    /** Returns a new command id with the given prefix. */
    String nextCommandId(final String what) {
        return what + "-" + ++lastCommand;
    }

    /** Returns a request rate in the form in which the observer identifies a change by it. */
    static String cellValue(final double rate) {
        return "" + rate;
    }

    /** Stops starting new reads and changes. */
    void stop() {
        stopped = true;
    }

    /** Loads the tenants and the first table, which takes four seconds of simulated time. */
    void loadTenantsAndTable() {
        final SimulatedNode controller = world.controllers().get(0);
        for (final Plan.Tenant tenant : world.plan().tenants()) {
            final Runnable acknowledge = requestHomes(tenant, tenant.homeRegions());
            final Command command = new Command.PutTenant(
                    "load-" + tenant.name(), TableValues.tenant(tenant, tenant.homeRegions()), -1);
            controller.submit(command, LOAD_TIMEOUT, result -> acknowledge.run());
        }
        world.scheduler().runUntil(world.scheduler().now() + 2 * SECOND);
        final Runnable acknowledge =
                history.gateChangeRequested(true, world.scheduler().now());
        final Command command =
                new Command.PutTable("load-table", TableValues.rows(world.plan(), TableValues.FIRST_RATE, false), -1);
        controller.submit(command, LOAD_TIMEOUT, result -> {
            if (result instanceof CommandResult.Applied applied) {
                final long now = world.scheduler().now();
                history.changeEnded(cellValue(TableValues.FIRST_RATE), "kept", applied.sequence(), -1, now);
                acknowledge.run();
            }
        });
        world.scheduler().runUntil(world.scheduler().now() + 2 * SECOND);
    }

    private Runnable requestHomes(final Plan.Tenant tenant, final List<String> homeRegions) {
        return history.homesRequested(
                tenant.name(), Set.copyOf(homeRegions), false, world.scheduler().now());
    }

    /** Starts reading and changing the table, and toggling the gate. */
    void start() {
        readAndEdit();
        world.scheduler().schedule(3 * SECOND, this::toggleGate);
    }

    private void readAndEdit() {
        if (stopped) {
            return;
        }
        submitter.randomController().ifPresent(controller -> {
            final long newestBefore = history.newestAcknowledged();
            final boolean wasComplete = world.isChainComplete();
            submitter.read(controller, TABLE, page -> {
                final boolean isDisturbed = !wasComplete || !world.isChainComplete();
                history.tableRead(newestBefore, page.sequence(), values(page), isDisturbed);
                final SimulatedNode second = submitter.randomController().orElse(controller);
                editTable(controller, second, CommandSubmitter.newestSequence(page), isGateShut(page));
            });
        });
        world.scheduler().schedule(SECOND / 2 + world.scheduler().random().nextLong(SECOND), this::readAndEdit);
    }

    private static Set<String> values(final ChainClient.ReadResult page) {
        final Set<String> values = new HashSet<>();
        page.entries()
                .forEach(entry ->
                        entry.value().forEach(row -> values.add(cellValue(((Value.Row) row).requestsPerSecond()))));
        return values;
    }

    private static boolean isGateShut(final ChainClient.ReadResult page) {
        return page.entries().stream()
                .flatMap(entry -> entry.value().stream())
                .anyMatch(value -> value instanceof Value.Row row && row.kind().equals(GATE_KIND) && row.atMostOnce());
    }

    /** Sends a change, at times a conflicting one on top of the same sequence number, and at times an invalid table. */
    private void editTable(
            final SimulatedNode first, final SimulatedNode second, final long match, final boolean gateShut) {
        changeTable(first, match, gateShut);
        if (world.scheduler().random().nextInt(3) == 0) {
            changeTable(second, match, gateShut);
        }
        if (world.scheduler().random().nextInt(6) == 0) {
            final long rate = ++lastRate;
            final List<Value.Row> rows = new ArrayList<>(TableValues.rows(world.plan(), rate, gateShut));
            rows.add(TableRules.defaultRow("nobody-at-all", "quick"));
            submitChange(first, new Command.PutTable("bad-" + rate, rows, -1), rate, -1);
        }
    }

    private void changeTable(final SimulatedNode controller, final long match, final boolean gateShut) {
        final long rate = ++lastRate;
        final Command command = world.scheduler().random().nextInt(4) == 0
                ? new Command.PutTable("put-" + rate, TableValues.rows(world.plan(), rate, gateShut), match)
                : new Command.PatchTable("set-" + rate, List.of(rateOfRandomKind(rate)), match);
        submitChange(controller, command, rate, match);
    }

    private Command.Cell rateOfRandomKind(final double rate) {
        return new Command.Cell("*", world.randomOf(world.plan().kinds()).kind(), "rate", cellValue(rate));
    }

    private void submitChange(
            final SimulatedNode controller, final Command command, final double rate, final long match) {
        controller.submit(
                command,
                CommandSubmitter.TIMEOUT,
                result -> recordOutcome(cellValue(rate), (CommandResult) result, match));
    }

    private void recordOutcome(final String value, final CommandResult result, final long match) {
        final long now = world.scheduler().now();
        switch (result) {
            case CommandResult.Applied applied -> {
                history.changeEnded(value, "kept", applied.sequence(), match, now);
                final Optional<Runnable> task = afterAcknowledgement;
                afterAcknowledgement = Optional.empty();
                task.ifPresent(next -> world.scheduler().schedule(0, next));
            }
            case CommandResult.Rejected rejected ->
                history.changeEnded(value, "rejected", rejected.sequence(), match, now);
            case CommandResult.Unknown unknown -> history.changeEnded(value, "unknown", 0, match, now);
            case CommandResult.AlreadyClaimed claimed -> history.changeEnded(value, "stands", 0, match, now);
        }
    }

    /** Runs a task when the next change of the table is acknowledged to an operator. */
    void afterAcknowledgement(final Runnable task) {
        afterAcknowledgement = Optional.of(task);
    }

    /** Opens or shuts the gate; the next toggle follows 7 to 8 s after the acknowledgement of this one. */
    private void toggleGate() {
        if (stopped) {
            return;
        }
        gateOpen = !gateOpen;
        final Command.Cell cell = new Command.Cell("*", GATE_KIND, "once", "" + !gateOpen);
        final Runnable acknowledge =
                history.gateChangeRequested(gateOpen, world.scheduler().now());
        submitter.submitUntilApplied(
                TABLE, "", match -> new Command.PatchTable(nextCommandId("gate"), List.of(cell), match), sequence -> {
                    acknowledge.run();
                    observer.count("gates");
                    world.scheduler()
                            .schedule(GATE_INTERVAL + world.scheduler().random().nextLong(SECOND), this::toggleGate);
                });
    }

    /** Drains a zone or returns it to service; retries until that is acknowledged. */
    void drain(final String zone, final boolean drain) {
        world.record((drain ? "drain " : "undrain ") + zone);
        if (drain) {
            history.drainRequested(zone, world.scheduler().now());
        } else {
            history.drainWithdrawn(zone);
        }
        submitter.submitUntilApplied(
                "z/",
                "z/" + zone,
                match -> new Command.SetEvacuation(nextCommandId("zone"), zone, drain, match),
                sequence -> {
                    world.disturbances().recordChange();
                    if (drain) {
                        observer.count("drains");
                        history.drainAcknowledged(zone, world.scheduler().now());
                    }
                });
    }

    /** Delivers a command to return a zone to service whose caller has left; the close of its connection arrives shortly after it. */
    void deliverHeldReturn(final String zone) {
        world.record("a command to return " + zone + " arrives late");
        final Command command =
                new Command.SetEvacuation(nextCommandId("held"), zone, false, Command.Revisioned.LATEST);
        final long closeDelay = world.scheduler().random().nextLong(MAX_CLOSE_DELAY);
        submitter.randomController().ifPresent(controller -> {
            controller.submitUntilClosed(command, CommandSubmitter.TIMEOUT, closeDelay);
            observer.count("heldCommands");
        });
    }

    /** Starts a {@link ZoneRace} once all earlier commands on the zone have ended. */
    void raceOnZone(final String zone) {
        submitter.enqueue("z/" + zone, done -> new ZoneRace(world, this, zone, done).start());
    }

    /**
     * Changes a tenant's home regions, while its requests are queued, running and retained; retries until that is
     * acknowledged.
     */
    void changeHomes(final Plan.Tenant tenant, final List<String> homeRegions) {
        world.record("homes of " + tenant.name() + " become " + homeRegions);
        final Runnable acknowledge = requestHomes(tenant, homeRegions);
        final Value.Tenant value = TableValues.tenant(tenant, homeRegions);
        submitter.submitUntilApplied(
                "t/",
                "t/" + tenant.name(),
                match -> new Command.PutTenant(nextCommandId("move"), value, match),
                sequence -> tenantChanged(acknowledge, "homeMoves"));
    }

    /** Removes a tenant; retries until that is acknowledged. */
    void removeTenant(final Plan.Tenant tenant) {
        world.record("tenant " + tenant.name() + " is taken away");
        final Runnable acknowledge = history.homesRequested(
                tenant.name(), Set.of(), true, world.scheduler().now());
        submitter.submitUntilApplied(
                "t/",
                "t/" + tenant.name(),
                match -> new Command.RemoveTenant(nextCommandId("drop"), tenant.name(), match),
                sequence -> tenantChanged(acknowledge, "drops"));
    }

    private void tenantChanged(final Runnable acknowledge, final String counter) {
        acknowledge.run();
        world.disturbances().recordChange();
        observer.count(counter);
    }

    /** Adds rows to the table, in batches of 1,000. */
    void growTable(final int rows) {
        world.record("the table grows by " + rows + " rows");
        final List<Plan.Tenant> tenants = world.plan().tenants();
        final List<Command.Cell> cells = new ArrayList<>();
        for (int i = 0; i < rows; i++) {
            final String tenant = tenants.get(i % tenants.size()).name();
            cells.add(new Command.Cell(tenant, "kind" + i, "rate", cellValue(TableValues.FIRST_RATE)));
        }
        for (int i = 0; i < rows; i += GROWTH_BATCH) {
            final List<Command.Cell> batch = cells.subList(i, Math.min(rows, i + GROWTH_BATCH));
            submitter.submitUntilApplied(
                    TABLE,
                    "",
                    match -> new Command.PatchTable(nextCommandId("grow"), batch, -1),
                    sequence -> observer.count("grown"));
        }
    }

    /**
     * Reads the table through every running controller and changes it once more, at the end of a day.
     *
     * @param commandId the command id of the change, unique within the day
     */
    void readBackAndChange(final String commandId) {
        lastChangeApplied = false;
        lastReadsAnswered = 0;
        final long newestBefore = history.newestAcknowledged();
        configurations.readBack();
        world.controllers().stream()
                .filter(SimulatedNode::isAlive)
                .forEach(controller -> submitter.read(controller, TABLE, page -> {
                    observer.count("lastReads");
                    lastReadsAnswered++;
                    history.tableRead(newestBefore, page.sequence(), Set.of(), false);
                }));
        final String firstKind = world.plan().kinds().get(0).kind();
        final Command command = new Command.PatchTable(
                commandId, List.of(new Command.Cell("*", firstKind, "rate", cellValue(950))), -1);
        submitter
                .randomController()
                .ifPresent(controller -> controller.submit(
                        command, LOAD_TIMEOUT, result -> lastChangeApplied = result instanceof CommandResult.Applied));
        world.scheduler().runUntil(world.scheduler().now() + 5 * SECOND);
    }

    /** Returns how many controllers replied in the last {@link #readBackAndChange}. */
    int lastReadsAnswered() {
        return lastReadsAnswered;
    }

    /** Returns whether the change of the last {@link #readBackAndChange} was acknowledged. */
    boolean lastChangeApplied() {
        return lastChangeApplied;
    }
}
