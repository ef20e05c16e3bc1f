package silverlatch.simulation.sim;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import silverlatch.dispatch.DispatchEffect;
import silverlatch.dispatch.StreamRecord;
import silverlatch.gossip.Worker;
import silverlatch.simulation.worker.PrefixCache;
import silverlatch.simulation.worker.ScriptedResponse;
import silverlatch.simulation.worker.WorkerFault;

/**
 * A simulated worker. It runs up to {@code slots} attempts and queues as many, caches prompt prefixes, streams responses chunk by
 * chunk, announces itself to the gateways of its region, and injects the current {@link WorkerFault}. Times are microseconds.
 */
final class SimulatedWorker {
    private static final int PREFIX_CACHE_SIZE = 64;
    private static final long MIN_PREFILL = 5_000L;
    private static final long PREFILL_PER_MISSING_PART = 8_000L;
    private static final long CHUNK_INTERVAL = 20_000L;
    private static final long SLOW_CHUNK_INTERVAL = 200_000L;
    private static final long UNRESPONSIVE_POLL_INTERVAL = 100_000L;
    private static final long MIN_ANNOUNCEMENT_INTERVAL = 400_000L;
    private static final long ANNOUNCEMENT_JITTER = 100_000L;
    private final World world;
    private final String name;
    private final String zone;
    private final String region;
    private final List<SimulatedNode> nearbyGateways;
    private final int slots;
    private final PrefixCache prefixCache = new PrefixCache(PREFIX_CACHE_SIZE);
    private final Map<String, Long> echoes = new HashMap<>();
    private final Deque<Runnable> queue = new ArrayDeque<>();
    private final Set<Long> openExchanges = new HashSet<>();
    private boolean isAlive;
    private boolean draining;
    private long incarnation;
    private long startedAt;
    private long sequence;
    private long generation;
    private int running;
    private WorkerFault fault = WorkerFault.NONE;
    private long lastExchange;

    /** An attempt at this worker, and the generation of the worker's process in which it arrived. */
    private record Run(
            long exchange,
            long startedGeneration,
            ScriptedResponse response,
            BiConsumer<StreamRecord, Boolean> output) {}

    SimulatedWorker(
            final World world,
            final String name,
            final String zone,
            final String region,
            final List<SimulatedNode> nearbyGateways,
            final int slots) {
        this.world = world;
        this.name = name;
        this.zone = zone;
        this.region = region;
        this.nearbyGateways = nearbyGateways;
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
        world.observer().workerDraining(name, false, startedAt);
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
            world.observer().workerDraining(name, true, world.scheduler().now());
        }
    }

    void setFault(final WorkerFault newFault) {
        fault = newFault;
    }

    void cancel(final long exchange) {
        openExchanges.remove(exchange);
    }

    /**
     * Runs an attempt, or queues it while all slots are busy.
     *
     * @param attempt the attempt to run
     * @param output  receives each record of the response, and whether the connection ends with it
     * @return the exchange number for {@link #cancel}, or -1 if the worker rejects the attempt
     */
    long startRun(final DispatchEffect.StartAttempt attempt, final BiConsumer<StreamRecord, Boolean> output) {
        if (fault == WorkerFault.DENY || queue.size() >= slots) {
            return -1;
        }
        final Run run = new Run(
                ++lastExchange,
                generation,
                new ScriptedResponse(name, attempt.requestId(), attempt.attemptId(), attempt.prompt()),
                output);
        openExchanges.add(run.exchange());
        final Runnable start = () -> prefill(run, attempt.prefixDigests());
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
        return run.exchange();
    }

    private void prefill(final Run run, final List<Long> prefixDigests) {
        running++;
        final long missing = prefixCache.admit(prefixDigests);
        world.observer().count(missing == 0 && !prefixDigests.isEmpty() ? "prefixKept" : "prefixRead");
        world.scheduler().schedule(MIN_PREFILL + missing * PREFILL_PER_MISSING_PART, () -> streamNext(run, 0));
    }

    private void streamNext(final Run run, final int index) {
        if (run.startedGeneration() != generation) {
            return;
        }
        if (!openExchanges.contains(run.exchange())) {
            finishRun();
            return;
        }
        if (fault == WorkerFault.DARK) {
            world.scheduler().schedule(UNRESPONSIVE_POLL_INTERVAL, () -> streamNext(run, index));
            return;
        }
        final ScriptedResponse response = run.response();
        if (response.isDropped(fault, index)) {
            endStream(run);
            return;
        }
        if (index == response.chunkCount()) {
            if (fault == WorkerFault.WRONGSEAL || fault == WorkerFault.NOSEAL) {
                world.observer().exercise(Invariant.COMPLETE_RESPONSE);
            }
            response.trailer(fault).ifPresent(trailer -> run.output().accept(trailer, false));
            endStream(run);
            return;
        }
        response.chunk(fault, index).forEach(chunk -> run.output().accept(chunk, false));
        recordExercised(index, response.chunkCount());
        world.scheduler()
                .schedule(
                        fault == WorkerFault.SLOW ? SLOW_CHUNK_INTERVAL : CHUNK_INTERVAL,
                        () -> streamNext(run, index + 1));
    }

    private void endStream(final Run run) {
        run.output().accept(new StreamRecord.Lost("", "end"), true);
        openExchanges.remove(run.exchange());
        finishRun();
    }

    private void recordExercised(final int number, final int count) {
        if (number == 1 && fault == WorkerFault.FOREIGN) {
            world.observer().exercise(Invariant.OWN_RESPONSE);
        }
        if (number == 1 && (fault == WorkerFault.GAP && count > 2 || fault == WorkerFault.REPEAT)) {
            world.observer().exercise(Invariant.CONTIGUOUS_STREAM);
        }
        if (number == 1 && fault == WorkerFault.DROP) {
            world.observer().exercise(Invariant.SINGLE_RUN_STREAM);
        }
    }

    private void finishRun() {
        running--;
        if (!queue.isEmpty()) {
            queue.poll().run();
        }
    }

    private void scheduleAnnouncement(final long startedGeneration) {
        if (startedGeneration != generation) {
            return;
        }
        announce();
        world.scheduler()
                .schedule(
                        MIN_ANNOUNCEMENT_INTERVAL + world.scheduler().random().nextLong(ANNOUNCEMENT_JITTER),
                        () -> scheduleAnnouncement(startedGeneration));
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
                    prefixCache.digests(),
                    draining,
                    world.scheduler().now() - startedAt);
            final long lastEcho = echoes.getOrDefault(gateway.name(), 0L);
            final long sentGeneration = generation;
            world.network()
                    .sendBytes(
                            name + ">" + gateway.name() + gateway.generation(),
                            name,
                            gateway.name(),
                            () -> gateway.announce(
                                    report, lastEcho, echo -> returnEcho(gateway, echo, sentGeneration)));
        }
    }

    /**
     * Sends the echo to the worker, which includes it in its next announcement so that the gateway can date that one. An echo
     * that arrives after the worker restarted is dropped.
     */
    private void returnEcho(final SimulatedNode gateway, final long echo, final long sentGeneration) {
        world.network().sendBytes(gateway.name() + ">" + name + gateway.generation(), gateway.name(), name, () -> {
            if (sentGeneration == generation) {
                echoes.put(gateway.name(), echo);
            }
        });
    }
}
