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
import silverlatch.state.Command;
import silverlatch.state.CommandResult;
import silverlatch.state.Entry;
import silverlatch.state.TableRules;
import silverlatch.state.Value;

/** The operators of a simulated day: two at once at times, who read, change, race, and are told what came of it. */
final class Office {
    /** The kind whose row is the gate: tickets of it bear no key, and its cell "once" asks for one or not. */
    static final String GATE = "trial";

    private static final long SECOND = 1_000_000L;
    private static final long PAUSE = 7 * SECOND;
    private final World world;
    private final Watch watch;
    private final ConfigurationOperators configurations;
    private final Map<String, Deque<Runnable>> lines = new HashMap<>();
    private long values = 1_000;
    private long turns;
    private boolean open = true;
    private boolean quiet;
    private boolean kept;

    Office(final World world) {
        this.world = world;
        this.watch = world.watch();
        this.configurations = new ConfigurationOperators(world);
    }

    /** The operators of routing configurations. */
    ConfigurationOperators configurations() {
        return configurations;
    }

    /** The value of a marked cell. */
    static String value(final double rate) {
        return "" + rate;
    }

    void hush() {
        quiet = true;
    }

    /** Gives the fleet its tenants and its first table. */
    void load() {
        final SimulatedNode h = world.controllers().get(0);
        int i = 0;
        for (final World.Person p : world.people()) {
            i++;
            final Runnable ack = watch.rules()
                    .home(p.name(), Set.copyOf(p.homes()), false, world.engine().now());
            h.wish(new Command.PutTenant("load-" + p.name(), leaf(p, p.homes()), -1), 4 * SECOND, v -> ack.run());
        }
        world.engine().run(world.engine().now() + 2 * SECOND);
        final Runnable ack = watch.rules().gate(true, world.engine().now());
        h.wish(new Command.PutTable("load-table", rows(900, false), -1), 4 * SECOND, v -> {
            if (v instanceof CommandResult.Applied k) {
                watch.rules()
                        .change(
                                value(900),
                                "kept",
                                k.sequence(),
                                -1,
                                world.engine().now());
                ack.run();
            }
        });
        world.engine().run(world.engine().now() + 2 * SECOND);
    }

    /** Begins the operators' day. */
    void open() {
        operate();
        world.engine().in(3 * SECOND, this::turn);
    }

    private void operate() {
        if (quiet) {
            return;
        }
        some().ifPresent(h -> {
            final long before = watch.rules().acked();
            final boolean whole = world.settled();
            read(h, "r/", p -> {
                final Set<String> seen = new HashSet<>();
                p.entries().forEach(e -> e.value().forEach(l -> seen.add(value(((Value.Row) l).requestsPerSecond()))));
                watch.rules().read(before, p.sequence(), seen, !whole || !world.settled());
                final boolean once = p.entries().stream()
                        .flatMap(e -> e.value().stream())
                        .anyMatch(l -> l instanceof Value.Row r && r.kind().equals(GATE) && r.atMostOnce());
                edit(
                        h,
                        some().orElse(h),
                        p.entries().stream().mapToLong(Entry::sequence).max().orElse(0),
                        once);
            });
        });
        world.engine().in(SECOND / 2 + world.engine().luck().nextLong(SECOND), this::operate);
    }

    private void edit(final SimulatedNode one, final SimulatedNode two, final long match, final boolean once) {
        change(one, match, once);
        if (world.engine().luck().nextInt(3) == 0) {
            change(two, match, once);
        }
        if (world.engine().luck().nextInt(6) == 0) {
            final double v = ++values;
            final List<Value.Row> rows = new ArrayList<>(rows(v, once));
            rows.add(TableRules.defaultRow("nobody-at-all", "quick"));
            one.wish(new Command.PutTable("bad-" + (long) v, rows, -1), 3 * SECOND, r -> fate(v, r, -1));
        }
    }

    private void change(final SimulatedNode h, final long match, final boolean once) {
        final double v = ++values;
        final Command w = world.engine().luck().nextInt(4) == 0
                ? new Command.PutTable("put-" + (long) v, rows(v, once), match)
                : new Command.PatchTable(
                        "set-" + (long) v,
                        List.of(new Command.Cell("*", world.some(world.sorts()).kind(), "rate", value(v))),
                        match);
        h.wish(w, 3 * SECOND, r -> fate(v, r, match));
    }

    private void fate(final double v, final Object r, final long match) {
        final long now = world.engine().now();
        switch ((CommandResult) r) {
            case CommandResult.Applied k -> watch.rules().change(value(v), "kept", k.sequence(), match, now);
            case CommandResult.Rejected x -> watch.rules().change(value(v), "rejected", x.sequence(), match, now);
            case CommandResult.Unknown u -> watch.rules().change(value(v), "unknown", 0, match, now);
            case CommandResult.AlreadyClaimed s -> watch.rules().change(value(v), "stands", 0, match, now);
        }
    }

    /** The gate is turned; the next turn comes when this one is acknowledged and a while has passed. */
    private void turn() {
        if (quiet) {
            return;
        }
        open = !open;
        final boolean now = open;
        final Runnable ack = watch.rules().gate(now, world.engine().now());
        insist(
                "r/",
                "",
                m -> new Command.PatchTable(
                        "gate-" + ++turns, List.of(new Command.Cell("*", GATE, "once", "" + !now)), m),
                s -> {
                    ack.run();
                    watch.count("gates");
                    world.engine().in(PAUSE + world.engine().luck().nextLong(SECOND), this::turn);
                });
    }

    /** Orders a zone empty or gives it back, through some controller, until it is acknowledged. */
    void drain(final String zone, final boolean on) {
        world.tell((on ? "drain " : "undrain ") + zone);
        if (on) {
            watch.rules().drain(zone, world.engine().now());
        } else {
            watch.rules().undrain(zone);
        }
        insist("z/", "z/" + zone, m -> new Command.SetEvacuation("zone-" + ++turns, zone, on, m), s -> {
            world.stir();
            if (on) {
                watch.count("drains");
                watch.rules().drained(zone, world.engine().now());
            }
        });
    }

    /** Two operators race: one empties the zone, the other gives it back, against the same sequence. */
    void race(final String zone) {
        queue("z/" + zone, done -> {
            world.tell("race on " + zone);
            watch.rules().undrain(zone);
            final boolean[] over = {false};
            final Runnable end = () -> {
                if (!over[0]) {
                    over[0] = true;
                    done.run();
                }
            };
            world.engine().in(8 * SECOND, end);
            some().ifPresent(one -> contend(zone, one, over, end));
        });
    }

    private void contend(final String zone, final SimulatedNode one, final boolean[] over, final Runnable end) {
        read(one, "z/", p -> {
            if (over[0]) {
                return;
            }
            final long match = sequence(p, "z/" + zone);
            final long asked = world.engine().now();
            final List<Object> fates = new ArrayList<>();
            final SimulatedNode two = some().orElse(one);
            final boolean first = world.engine().luck().nextBoolean();
            final CommandResult[] on = {new CommandResult.Unknown("")};
            final CommandResult[] off = {new CommandResult.Unknown("")};
            final Runnable judge = () -> {
                if (over[0] || fates.size() < 2) {
                    return;
                }
                watch.count("races");
                watch.probe(Mark.LOSER);
                if (on[0] instanceof CommandResult.Applied && off[0] instanceof CommandResult.Applied) {
                    watch.fault(
                            Mark.LOSER,
                            "an order to empty " + zone + " and one to give it back were both kept against " + match);
                }
                if (on[0] instanceof CommandResult.Applied && off[0] instanceof CommandResult.Rejected) {
                    watch.rules().drain(zone, asked);
                    watch.rules().drained(zone, world.engine().now());
                }
                end.run();
            };
            for (final boolean side : new boolean[] {first, !first}) {
                (side ? one : two)
                        .wish(new Command.SetEvacuation("race-" + ++turns, zone, side, match), 3 * SECOND, v -> {
                            (side ? on : off)[0] = (CommandResult) v;
                            fates.add(v);
                            judge.run();
                        });
            }
        });
    }

    /** A tenant's homes are changed while its tickets queue, run, and are kept to be read again. */
    void move(final World.Person p, final List<String> homes) {
        world.tell("homes of " + p.name() + " become " + homes);
        final Runnable ack = watch.rules()
                .home(p.name(), Set.copyOf(homes), false, world.engine().now());
        insist("t/", "t/" + p.name(), m -> new Command.PutTenant("move-" + ++turns, leaf(p, homes), m), s -> {
            ack.run();
            world.stir();
            watch.count("homeMoves");
        });
    }

    /** A tenant is taken away. */
    void drop(final World.Person p) {
        world.tell("tenant " + p.name() + " is taken away");
        final Runnable ack =
                watch.rules().home(p.name(), Set.of(), true, world.engine().now());
        insist("t/", "t/" + p.name(), m -> new Command.RemoveTenant("drop-" + ++turns, p.name(), m), s -> {
            ack.run();
            world.stir();
            watch.count("drops");
        });
    }

    /** The table grows by so many rows, a part of them at a time. */
    void grow(final int rows) {
        world.tell("the table grows by " + rows + " rows");
        final List<Command.Cell> cells = new ArrayList<>();
        for (int i = 0; i < rows; i++) {
            cells.add(new Command.Cell(
                    world.people().get(i % world.people().size()).name(), "kind" + i, "rate", value(900)));
        }
        for (int i = 0; i < rows; i += 1_000) {
            final List<Command.Cell> part = cells.subList(i, Math.min(rows, i + 1_000));
            insist("r/", "", m -> new Command.PatchTable("grow-" + ++turns, part, -1), s -> watch.count("grown"));
        }
    }

    /** Reads the table back through every controller that is up, and changes it once more, at the end of a day. */
    void last() {
        final long before = watch.rules().acked();
        configurations.readBack();
        world.controllers().stream()
                .filter(SimulatedNode::alive)
                .forEach(h -> read(h, "r/", p -> {
                    watch.count("lastReads");
                    watch.rules().read(before, p.sequence(), Set.of(), false);
                }));
        some().ifPresent(h -> h.wish(
                new Command.PatchTable(
                        "last",
                        List.of(new Command.Cell("*", world.sorts().get(0).kind(), "rate", value(950))),
                        -1),
                4 * SECOND,
                v -> kept = v instanceof CommandResult.Applied));
        world.engine().run(world.engine().now() + 5 * SECOND);
    }

    /** Whether the last change was acknowledged. */
    boolean kept() {
        return kept;
    }

    /** Orders on one thing go one after another: the next is asked for when the one before is kept. */
    private void insist(
            final String part, final String key, final LongFunction<Command> wish, final LongConsumer then) {
        if (key.isEmpty()) {
            ask(part, key, wish, then);
            return;
        }
        queue(
                key,
                done -> ask(part, key, wish, s -> {
                    then.accept(s);
                    done.run();
                }));
    }

    private void queue(final String key, final java.util.function.Consumer<Runnable> order) {
        final Deque<Runnable> line = lines.computeIfAbsent(key, k -> new ArrayDeque<>());
        line.add(() -> order.accept(() -> {
            line.poll();
            Optional.ofNullable(line.peek()).ifPresent(Runnable::run);
        }));
        if (line.size() == 1) {
            line.peek().run();
        }
    }

    /** Asks until it is kept; each time against the sequence just read, so that no earlier copy can come late. */
    private void ask(final String part, final String key, final LongFunction<Command> wish, final LongConsumer then) {
        final Runnable again = () -> world.engine().in(SECOND / 5, () -> ask(part, key, wish, then));
        final Optional<SimulatedNode> at = some();
        if (at.isEmpty()) {
            again.run();
            return;
        }
        final long mine = at.get().epoch();
        final boolean[] told = {false};
        world.engine().in(8 * SECOND, () -> {
            if (!told[0] && mine != at.get().epoch()) {
                told[0] = true;
                again.run();
            }
        });
        at.get().read(part, 3 * SECOND, r -> {
            if (told[0]) {
                return;
            }
            if (!(r instanceof ChainClient.ReadResult p) || !p.answered()) {
                told[0] = true;
                again.run();
                return;
            }
            final long match = key.isEmpty()
                    ? p.entries().stream().mapToLong(Entry::sequence).max().orElse(0)
                    : sequence(p, key);
            at.get().wish(wish.apply(match), 3 * SECOND, v -> {
                if (!told[0]) {
                    told[0] = true;
                    if (v instanceof CommandResult.Applied k) {
                        then.accept(k.sequence());
                    } else {
                        again.run();
                    }
                }
            });
        });
    }

    private void read(
            final SimulatedNode h, final String part, final java.util.function.Consumer<ChainClient.ReadResult> then) {
        h.read(part, 3 * SECOND, r -> {
            if (r instanceof ChainClient.ReadResult p && p.answered()) {
                then.accept(p);
            }
        });
    }

    private static long sequence(final ChainClient.ReadResult p, final String key) {
        return p.entries().stream()
                .filter(e -> e.key().equals(key))
                .mapToLong(Entry::sequence)
                .findFirst()
                .orElse(0);
    }

    private Optional<SimulatedNode> some() {
        final List<SimulatedNode> up =
                world.controllers().stream().filter(SimulatedNode::alive).toList();
        return up.isEmpty() ? Optional.empty() : Optional.of(world.some(up));
    }

    private List<Value.Row> rows(final double rate, final boolean once) {
        final List<Value.Row> rows =
                new ArrayList<>(world.sorts().stream().map(s -> row(s, rate)).toList());
        final Value.Row r = TableRules.defaultRow("*", GATE);
        rows.add(new Value.Row(
                "*",
                GATE,
                1,
                r.loadWeight(),
                r.warmupWeight(),
                r.localityWeight(),
                900,
                2_000,
                400,
                600,
                3_000_000,
                once,
                1));
        return rows;
    }

    private static Value.Row row(final World.Sort s, final double rate) {
        final Value.Row r = TableRules.defaultRow("*", s.kind());
        return new Value.Row(
                "*",
                s.kind(),
                s.prefix() > 8 ? 3 : 1,
                r.loadWeight(),
                r.warmupWeight(),
                r.localityWeight(),
                rate,
                2_000,
                400,
                600,
                3_000_000,
                s.once(),
                s.once() ? 9 : 1);
    }

    private static Value.Tenant leaf(final World.Person p, final List<String> homes) {
        return new Value.Tenant(p.name(), homes, p.share(), PermitSigner.sha256Hex(p.secret()), "salt-" + p.name());
    }
}
