package silverlatch.simulation.sim;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import silverlatch.dispatch.DispatchEffect;
import silverlatch.dispatch.StreamRecord;
import silverlatch.gossip.Worker;
import silverlatch.simulation.worker.Faults;
import silverlatch.simulation.worker.Speech;

/** A worker in the simulator. */
final class Mill {
    private static final int KEPT = 64;
    private final World world;
    private final String name;
    private final String zone;
    private final String region;
    private final List<SimulatedNode> near;
    private final int slots;
    private final LinkedHashMap<Long, Boolean> kept = new LinkedHashMap<>(16, 0.75f, true);
    private final Map<String, Long> echoes = new HashMap<>();
    private final Deque<Runnable> line = new ArrayDeque<>();
    private final Map<Long, Boolean> open = new HashMap<>();
    private boolean alive;
    private boolean leaving;
    private long life;
    private long began;
    private long sequence;
    private long epoch;
    private int running;
    private int most;
    private Faults fault = Faults.NONE;
    private long serial;

    Mill(
            final World world,
            final String name,
            final String zone,
            final String region,
            final List<SimulatedNode> near,
            final int slots) {
        this.world = world;
        this.name = name;
        this.zone = zone;
        this.region = region;
        this.near = near;
        this.slots = slots;
    }

    String name() {
        return name;
    }

    String zone() {
        return zone;
    }

    String region() {
        return region;
    }

    boolean alive() {
        return alive;
    }

    int most() {
        final int seen = most;
        most = running;
        return seen;
    }

    void start() {
        if (alive) {
            return;
        }
        alive = true;
        leaving = false;
        epoch++;
        life = world.engine().now() + 1;
        began = world.engine().now();
        sequence = 0;
        running = 0;
        kept.clear();
        echoes.clear();
        line.clear();
        fault = Faults.NONE;
        world.watch().leaves(name, false, began);
        if (began > 0) {
            world.watch().cold(name, began);
        }
        beat(epoch);
    }

    void kill() {
        alive = false;
        epoch++;
        open.clear();
        running = 0;
        line.clear();
    }

    void leave() {
        if (alive) {
            leaving = true;
            announce();
            world.watch().leaves(name, true, world.engine().now());
        }
    }

    void fault(final Faults f) {
        fault = f;
    }

    void hang(final long exchange) {
        open.remove(exchange);
    }

    /** A run arrives; lines and the end go back by the given ways. Gives the exchange's number, or -1 when it is denied. */
    long take(final DispatchEffect.StartAttempt r, final BiConsumer<StreamRecord, Boolean> out) {
        if (fault == Faults.DENY || line.size() >= slots) {
            return -1;
        }
        final long exchange = ++serial;
        open.put(exchange, true);
        final long mine = epoch;
        final Runnable job = () -> {
            running++;
            most = Math.max(most, running);
            final long fresh =
                    r.prefixDigests().stream().filter(p -> !kept.containsKey(p)).count();
            world.watch().count(fresh == 0 && !r.prefixDigests().isEmpty() ? "prefixKept" : "prefixRead");
            r.prefixDigests().forEach(p -> kept.put(p, true));
            while (kept.size() > KEPT) {
                kept.remove(kept.keySet().iterator().next());
            }
            world.engine().in(5_000 + fresh * 8_000, () -> step(mine, exchange, r, 0, out));
        };
        if (running < slots) {
            job.run();
        } else {
            line.add(job);
        }
        world.watch()
                .load(
                        name,
                        running + line.size(),
                        slots,
                        world.gateways().size(),
                        world.engine().now());
        return exchange;
    }

    private void step(
            final long mine,
            final long exchange,
            final DispatchEffect.StartAttempt r,
            final int number,
            final BiConsumer<StreamRecord, Boolean> out) {
        if (mine != epoch) {
            return;
        }
        final int count = Speech.count(r.prompt());
        if (!open.containsKey(exchange)) {
            end();
            return;
        }
        if (fault == Faults.DARK) {
            world.engine().in(100_000, () -> step(mine, exchange, r, number, out));
            return;
        }
        if (fault == Faults.DROP && number == 2) {
            out.accept(new StreamRecord.Lost("", "end"), true);
            open.remove(exchange);
            end();
            return;
        }
        if (number == count) {
            final String sha = Speech.sha(r.prompt(), fault == Faults.WRONGSEAL ? count - 1 : count);
            if (fault == Faults.WRONGSEAL || fault == Faults.NOSEAL) {
                world.watch().probe(Mark.CUT);
            }
            if (fault != Faults.NOSEAL) {
                out.accept(new StreamRecord.Trailer(name, r.requestId(), r.attemptId(), count, sha), false);
            }
            out.accept(new StreamRecord.Lost("", "end"), true);
            open.remove(exchange);
            end();
            return;
        }
        final String owner = fault == Faults.FOREIGN && number == 1 ? r.requestId() + "x" : r.requestId();
        final StreamRecord piece =
                new StreamRecord.Chunk(owner, r.attemptId(), number, Speech.piece(r.prompt(), number));
        if (fault != Faults.GAP || number != 1) {
            out.accept(piece, false);
        }
        probe(number, count);
        if (fault == Faults.REPEAT && number == 1) {
            out.accept(piece, false);
        }
        world.engine().in(fault == Faults.SLOW ? 200_000 : 20_000, () -> step(mine, exchange, r, number + 1, out));
    }

    private void probe(final int number, final int count) {
        if (number == 1 && fault == Faults.FOREIGN) {
            world.watch().probe(Mark.FOREIGN);
        }
        if (number == 1 && (fault == Faults.GAP && count > 2 || fault == Faults.REPEAT)) {
            world.watch().probe(Mark.PIECE);
        }
        if (number == 1 && fault == Faults.DROP) {
            world.watch().probe(Mark.JOIN);
        }
    }

    private void end() {
        running--;
        if (!line.isEmpty()) {
            line.poll().run();
        }
    }

    private void beat(final long mine) {
        if (mine != epoch) {
            return;
        }
        announce();
        world.engine().in(400_000 + world.engine().luck().nextLong(100_000), () -> beat(mine));
    }

    private void announce() {
        sequence++;
        for (final SimulatedNode n : near) {
            final Worker w = new Worker(
                    name,
                    name,
                    zone,
                    region,
                    life,
                    sequence,
                    running,
                    line.size(),
                    slots,
                    new ArrayList<>(kept.keySet()),
                    leaving,
                    world.engine().now() - began);
            final long echo = echoes.getOrDefault(n.name(), 0L);
            final long mine = epoch;
            world.net()
                    .bytes(
                            name + ">" + n.name() + n.epoch(),
                            name,
                            n.name(),
                            () -> n.announced(
                                    w,
                                    echo,
                                    next -> world.net().bytes(n.name() + ">" + name + n.epoch(), n.name(), name, () -> {
                                        if (mine == epoch) {
                                            echoes.put(n.name(), next);
                                        }
                                    })));
        }
    }
}
