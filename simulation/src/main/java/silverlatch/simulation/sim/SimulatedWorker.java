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
import silverlatch.simulation.response.ExpectedResponse;
import silverlatch.simulation.worker.WorkerFault;

/** A worker in the simulator. */
final class SimulatedWorker {
    private static final int PREFIX_CACHE_SIZE = 64;
    private final World world;
    private final String name;
    private final String zone;
    private final String region;
    private final List<SimulatedNode> nearbyGateways;
    private final int slots;
    private final LinkedHashMap<Long, Boolean> prefixCache = new LinkedHashMap<>(16, 0.75f, true);
    private final Map<String, Long> echoes = new HashMap<>();
    private final Deque<Runnable> queue = new ArrayDeque<>();
    private final Map<Long, Boolean> openExchanges = new HashMap<>();
    private boolean isAlive;
    private boolean draining;
    private long incarnation;
    private long startedAt;
    private long sequence;
    private long generation;
    private int running;
    private int peakRunning;
    private WorkerFault fault = WorkerFault.NONE;
    private long exchangeSerial;

    SimulatedWorker(
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
        this.nearbyGateways = near;
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

    boolean isAlive() {
        return isAlive;
    }

    int peakRunning() {
        final int seen = peakRunning;
        peakRunning = running;
        return seen;
    }

    void start() {
        if (isAlive) {
            return;
        }
        isAlive = true;
        draining = false;
        generation++;
        incarnation = world.scheduler().now() + 1;
        startedAt = world.scheduler().now();
        sequence = 0;
        running = 0;
        prefixCache.clear();
        echoes.clear();
        queue.clear();
        fault = WorkerFault.NONE;
        world.observer().leaves(name, false, startedAt);
        if (startedAt > 0) {
            world.observer().workerRestarted(name, startedAt);
        }
        scheduleAnnouncement(generation);
    }

    void kill() {
        isAlive = false;
        generation++;
        openExchanges.clear();
        running = 0;
        queue.clear();
    }

    void drain() {
        if (isAlive) {
            draining = true;
            announce();
            world.observer().leaves(name, true, world.scheduler().now());
        }
    }

    void fault(final WorkerFault newFault) {
        fault = newFault;
    }

    void cancel(final long exchange) {
        openExchanges.remove(exchange);
    }

    /** A run arrives; lines and the end go back by the given ways. Gives the exchange's number, or -1 when it is denied. */
    long startRun(final DispatchEffect.StartAttempt run, final BiConsumer<StreamRecord, Boolean> output) {
        if (fault == WorkerFault.DENY || queue.size() >= slots) {
            return -1;
        }
        final long exchange = ++exchangeSerial;
        openExchanges.put(exchange, true);
        final long startedIn = generation;
        final Runnable start = () -> {
            running++;
            peakRunning = Math.max(peakRunning, running);
            final long uncachedParts = run.prefixDigests().stream()
                    .filter(p -> !prefixCache.containsKey(p))
                    .count();
            world.observer().count(uncachedParts == 0 && !run.prefixDigests().isEmpty() ? "prefixKept" : "prefixRead");
            run.prefixDigests().forEach(p -> prefixCache.put(p, true));
            while (prefixCache.size() > PREFIX_CACHE_SIZE) {
                prefixCache.remove(prefixCache.keySet().iterator().next());
            }
            world.scheduler()
                    .schedule(5_000 + uncachedParts * 8_000, () -> streamNext(startedIn, exchange, run, 0, output));
        };
        if (running < slots) {
            start.run();
        } else {
            queue.add(start);
        }
        world.observer()
                .workerLoad(
                        name,
                        running + queue.size(),
                        slots,
                        world.gateways().size(),
                        world.scheduler().now());
        return exchange;
    }

    private void streamNext(
            final long startedIn,
            final long exchange,
            final DispatchEffect.StartAttempt run,
            final int number,
            final BiConsumer<StreamRecord, Boolean> output) {
        if (startedIn != generation) {
            return;
        }
        final int count = ExpectedResponse.chunkCount(run.prompt());
        if (!openExchanges.containsKey(exchange)) {
            finishRun();
            return;
        }
        if (fault == WorkerFault.DARK) {
            world.scheduler().schedule(100_000, () -> streamNext(startedIn, exchange, run, number, output));
            return;
        }
        if (fault == WorkerFault.DROP && number == 2) {
            output.accept(new StreamRecord.Lost("", "end"), true);
            openExchanges.remove(exchange);
            finishRun();
            return;
        }
        if (number == count) {
            final String sha256 =
                    ExpectedResponse.sha256(run.prompt(), fault == WorkerFault.WRONGSEAL ? count - 1 : count);
            if (fault == WorkerFault.WRONGSEAL || fault == WorkerFault.NOSEAL) {
                world.observer().exercise(Invariant.CUT);
            }
            if (fault != WorkerFault.NOSEAL) {
                output.accept(new StreamRecord.Trailer(name, run.requestId(), run.attemptId(), count, sha256), false);
            }
            output.accept(new StreamRecord.Lost("", "end"), true);
            openExchanges.remove(exchange);
            finishRun();
            return;
        }
        final String requestId = fault == WorkerFault.FOREIGN && number == 1 ? run.requestId() + "x" : run.requestId();
        final StreamRecord chunk = new StreamRecord.Chunk(
                requestId, run.attemptId(), number, ExpectedResponse.chunk(run.prompt(), number));
        if (fault != WorkerFault.GAP || number != 1) {
            output.accept(chunk, false);
        }
        recordExercised(number, count);
        if (fault == WorkerFault.REPEAT && number == 1) {
            output.accept(chunk, false);
        }
        world.scheduler()
                .schedule(
                        fault == WorkerFault.SLOW ? 200_000 : 20_000,
                        () -> streamNext(startedIn, exchange, run, number + 1, output));
    }

    private void recordExercised(final int number, final int count) {
        if (number == 1 && fault == WorkerFault.FOREIGN) {
            world.observer().exercise(Invariant.FOREIGN);
        }
        if (number == 1 && (fault == WorkerFault.GAP && count > 2 || fault == WorkerFault.REPEAT)) {
            world.observer().exercise(Invariant.PIECE);
        }
        if (number == 1 && fault == WorkerFault.DROP) {
            world.observer().exercise(Invariant.JOIN);
        }
    }

    private void finishRun() {
        running--;
        if (!queue.isEmpty()) {
            queue.poll().run();
        }
    }

    private void scheduleAnnouncement(final long startedIn) {
        if (startedIn != generation) {
            return;
        }
        announce();
        world.scheduler()
                .schedule(
                        400_000 + world.scheduler().random().nextLong(100_000), () -> scheduleAnnouncement(startedIn));
    }

    private void announce() {
        sequence++;
        for (final SimulatedNode gateway : nearbyGateways) {
            final Worker report = new Worker(
                    name,
                    name,
                    zone,
                    region,
                    incarnation,
                    sequence,
                    running,
                    queue.size(),
                    slots,
                    new ArrayList<>(prefixCache.keySet()),
                    draining,
                    world.scheduler().now() - startedAt);
            final long echo = echoes.getOrDefault(gateway.name(), 0L);
            final long sentIn = generation;
            world.network()
                    .sendBytes(
                            name + ">" + gateway.name() + gateway.generation(),
                            name,
                            gateway.name(),
                            () -> gateway.announce(
                                    report,
                                    echo,
                                    next -> world.network()
                                            .sendBytes(
                                                    gateway.name() + ">" + name + gateway.generation(),
                                                    gateway.name(),
                                                    name,
                                                    () -> {
                                                        if (sentIn == generation) {
                                                            echoes.put(gateway.name(), next);
                                                        }
                                                    })));
        }
    }
}
