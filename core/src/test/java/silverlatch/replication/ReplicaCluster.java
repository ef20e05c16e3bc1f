package silverlatch.replication;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.UnaryOperator;
import silverlatch.clock.Stamp;
import silverlatch.log.LogRecord;
import silverlatch.node.Effect;
import silverlatch.state.Command;
import silverlatch.state.CommandResult;
import silverlatch.state.ConfigurationValidator;
import silverlatch.state.Entry;
import silverlatch.state.Value;
import silverlatch.wire.ChainClientMessage;
import silverlatch.wire.Message;

/** Machines with ledgers and clerks on a fake clock: frames take a time, syncs take a time, and a power cut loses what wasn't synced. */
final class ReplicaCluster {
    static final long TICK_MICROS = 20_000;
    private List<String> seeds;
    private final long linkDelay;
    private final UnaryOperator<ReplicaSettings> settings;
    private final Map<String, ChainReplica> replicas = new TreeMap<>();
    private final Map<String, ChainClient> clients = new HashMap<>();
    private final Map<String, List<LogRecord>> disks = new TreeMap<>();
    private final Map<String, Long> newest = new HashMap<>();
    private final Map<String, String> identities = new HashMap<>();
    private final Set<Set<String>> cuts = new HashSet<>();
    private final Map<Set<String>, Long> slowLinks = new HashMap<>();
    private final Map<String, List<Runnable>> frozen = new TreeMap<>();
    private long syncMicros = 2_000;
    private final PriorityQueue<ScheduledTask> queue =
            new PriorityQueue<>(Comparator.comparingLong(ScheduledTask::at).thenComparingLong(ScheduledTask::order));
    private final Map<Long, PendingCall> pendingCalls = new LinkedHashMap<>();
    private final Map<String, SimulatedDisk> simulatedDisks = new HashMap<>();
    private final Map<silverlatch.node.Event, Long> logged = new HashMap<>();
    private final silverlatch.wire.Codec codec = new silverlatch.wire.Codec();
    private Optional<BandwidthLinks> links = Optional.empty();
    private Optional<java.util.function.Supplier<SimulatedDisk>> diskModel = Optional.empty();
    private long now = 1_000_000;
    private long lastOrder;
    private long stamp = 1_000;
    private long token;

    ReplicaCluster(final List<String> seeds, final long linkDelay, final UnaryOperator<ReplicaSettings> settings) {
        this.seeds = seeds;
        this.linkDelay = linkDelay;
        this.settings = settings;
    }

    /** Gives every machine a link of so many bytes a second and a disk with a time for each sync and a capacity. */
    ReplicaCluster withLimits(final long bytesPerSecond, final long sync, final long diskBytes) {
        links = Optional.of(new BandwidthLinks(bytesPerSecond, linkDelay, (task, when) -> schedule(when, task)));
        diskModel = Optional.of(() -> new SimulatedDisk(sync, diskBytes));
        return this;
    }

    /** The links, where there is a limit. */
    BandwidthLinks links() {
        return links.orElseThrow();
    }

    /** The model of a machine's disk, where there is a limit. */
    SimulatedDisk simulatedDisk(final String address) {
        return simulatedDisks.get(address);
    }

    /** What a machine has on its disk. */
    List<LogRecord> disk(final String address) {
        return disks.get(address);
    }

    /** How often an event was logged by any machine. */
    long logged(final silverlatch.node.Event event) {
        return logged.getOrDefault(event, 0L);
    }

    /** What came of a wish or a question, and when. */
    static final class PendingCall {
        private final long calledAt;
        private Optional<Object> reply = Optional.empty();
        private long answeredAt;

        PendingCall(final long at) {
            this.calledAt = at;
        }

        boolean isAcknowledged() {
            return reply.filter(r -> r instanceof CommandResult.Applied).isPresent();
        }

        long calledAt() {
            return calledAt;
        }

        long latency() {
            return answeredAt - calledAt;
        }

        Optional<Object> answer() {
            return reply;
        }

        Object reply() {
            return reply.orElseThrow();
        }
    }

    /** How all machines stand, for a failure's text. */
    @Override
    public String toString() {
        return replicas.entrySet().stream()
                .map(e -> {
                    final ReplicaStatus status = e.getValue().status(now);
                    return "\n" + e.getKey() + " " + status.state().label() + (status.isCaughtUp() ? " level" : "")
                            + (status.isLeased() ? " leased" : "") + " sequence " + status.sequence()
                            + " pending " + status.pendingEntries() + " view "
                            + status.view().number() + " voters "
                            + status.view().voters() + " chain "
                            + status.view().chain().stream()
                                    .map(Replica::address)
                                    .toList();
                })
                .collect(java.util.stream.Collectors.joining());
    }

    long now() {
        return now;
    }

    ChainReplica replica(final String address) {
        return replicas.get(address);
    }

    Set<String> running() {
        return Set.copyOf(replicas.keySet());
    }

    /** Starts a machine: from its disk, or empty under a new identity. */
    void start(final String address, final boolean mayBootstrap) {
        final List<LogRecord> disk = disks.computeIfAbsent(address, s -> new ArrayList<>());
        diskModel.ifPresent(model -> simulatedDisks.computeIfAbsent(address, s -> model.get()));
        final String identity = identities.computeIfAbsent(address, s -> "id-" + s + "-" + ++lastOrder);
        final ChainReplica replica = new ChainReplica(
                settings.apply(ReplicaSettings.of(new Replica(identity, address), seeds))
                        .withBootstrap(mayBootstrap),
                List.copyOf(disk),
                () -> new Stamp(++stamp),
                now);
        replicas.put(address, replica);
        clients.put(address, new ChainClient(address, replica::view, lastOrder++ * 1_000_000));
        scheduleTick(address, replica);
    }

    /** The seeds that machines started from now on are given. */
    void seeds(final List<String> next) {
        seeds = List.copyOf(next);
    }

    /** How long a sync takes from now on. */
    void setSyncMicros(final long span) {
        syncMicros = span;
    }

    /** The machine's process stands still: what comes meanwhile waits for it. */
    void freeze(final String address) {
        frozen.putIfAbsent(address, new ArrayList<>());
    }

    /** The machine's process goes on with what waits for it. */
    void thaw(final String address) {
        Optional.ofNullable(frozen.remove(address)).ifPresent(jobs -> jobs.forEach(Runnable::run));
    }

    /** The machine's process ends, and its power with it. */
    void kill(final String address) {
        frozen.remove(address);
        replicas.remove(address);
        clients.remove(address);
        links.ifPresent(l -> l.drop(address));
    }

    /** The machine's process stands still for so long; what comes meanwhile waits for it. */
    void freeze(final String address, final long span) {
        freeze(address);
        schedule(now + span, () -> thaw(address));
    }

    /** The disk is lost; the next start is under a new identity. */
    void loseDisk(final String address) {
        disks.remove(address);
        newest.remove(address);
        simulatedDisks.remove(address);
        identities.remove(address);
    }

    /** Nothing goes between two machines, or all does again. */
    void cut(final String one, final String other, final boolean off) {
        final Set<String> link = Set.of(one, other);
        if (off) {
            cuts.add(link);
        } else {
            cuts.remove(link);
        }
    }

    /** What is sent between two machines from now on comes later by so much; what is sent after a heal overtakes it. */
    void slow(final String one, final String other, final long extra) {
        slowLinks.put(Set.of(one, other), extra);
    }

    /** Every link is whole again. */
    void heal() {
        cuts.clear();
        slowLinks.clear();
    }

    void advance(final long span) {
        final long end = now + span;
        while (!queue.isEmpty() && queue.peek().at() <= end) {
            final ScheduledTask task = queue.poll();
            now = task.at();
            task.task().run();
        }
        now = end;
    }

    /** Passes time until something holds; how long it took, or -1 when it did not come. */
    long advanceUntil(final long limit, final java.util.function.BooleanSupplier condition) {
        final long startedAt = now;
        while (!condition.getAsBoolean()) {
            if (now - startedAt > limit) {
                return -1;
            }
            advance(1_000);
        }
        return now - startedAt;
    }

    static Command.PutConfiguration configuration(final long number, final long match) {
        final Value.BackendPool pool = new Value.BackendPool("pool", "/", 1, 0, 1, 1, 0, 1);
        final Value.Route route = new Value.Route(
                "rule",
                "host" + number,
                "/",
                false,
                false,
                false,
                false,
                1,
                0,
                0,
                0,
                1,
                List.of(),
                List.of(new Value.WeightedBackend("pool", 1)));
        return new Command.PutConfiguration(
                "lay-" + number + "-" + match,
                new Value.RoutingConfiguration(number, 1, 1, 1, 1),
                List.of(route),
                List.of(pool),
                "paper " + number,
                match);
    }

    PendingCall putConfiguration(final String at, final long number, final long match, final long span) {
        return submit(at, configuration(number, match), span);
    }

    /** Hands a command to the client of one machine. */
    PendingCall submit(final String at, final Command command, final long span) {
        final PendingCall call = new PendingCall(now);
        pendingCalls.put(++token, call);
        final long callToken = token;
        final long deadline = now + span;
        final ChainReplica called = replicas.get(at);
        whenThawed(at, () -> {
            if (replicas.get(at) == called) {
                clients.get(at).submit(command, callToken, now, deadline);
                performEffects(at, called);
            }
        });
        return call;
    }

    PendingCall read(final String at, final long span) {
        return read(at, ConfigurationValidator.DOCUMENT_KEY, span);
    }

    /** Asks the tail for the entries whose keys start so. */
    PendingCall read(final String at, final String keyPrefix, final long span) {
        final PendingCall call = new PendingCall(now);
        pendingCalls.put(++token, call);
        final long callToken = token;
        final long deadline = now + span;
        final ChainReplica called = replicas.get(at);
        whenThawed(at, () -> {
            if (replicas.get(at) == called) {
                clients.get(at).read(keyPrefix, callToken, now, deadline);
                performEffects(at, called);
            }
        });
        return call;
    }

    /** The number of the charter that a machine holds as acknowledged. */
    long committedNumber(final String address) {
        return replicas.get(address)
                .stateMachine()
                .get(ConfigurationValidator.CONFIGURATION_KEY)
                .map(e -> ((Value.RoutingConfiguration) e.value().get(0)).number())
                .orElse(0L);
    }

    /** On how many of the disks a charter is synced, as a change or within a picture. */
    long synced(final long number) {
        return disks.keySet().stream()
                .filter(address -> synced(address, number))
                .count();
    }

    /** Whether a charter, or a later one, is synced on the disk of one machine. */
    boolean synced(final String address, final long number) {
        return newest.getOrDefault(address, 0L) >= number;
    }

    /** The number of the newest charter of these entries, or 0. */
    private static long newest(final List<Entry> entries) {
        return entries.stream()
                .filter(e -> e.key().equals(ConfigurationValidator.CONFIGURATION_KEY))
                .mapToLong(e -> ((Value.RoutingConfiguration) e.value().get(0)).number())
                .max()
                .orElse(0);
    }

    private void sync(final String address, final LogRecord record) {
        if (record instanceof LogRecord.Snapshot p) {
            disks.get(address).clear();
            newest.put(address, newest(p.entries()));
        } else if (record instanceof LogRecord.Appended x) {
            newest.merge(address, newest(x.entry().puts()), Math::max);
        }
        disks.get(address).add(record);
    }

    private void schedule(final long when, final Runnable task) {
        queue.add(new ScheduledTask(when, lastOrder++, task));
    }

    /** Does something on a machine, or when it thaws. */
    private void schedule(final long when, final String address, final Runnable task) {
        schedule(when, () -> whenThawed(address, task));
    }

    private void whenThawed(final String address, final Runnable task) {
        if (frozen.containsKey(address)) {
            frozen.get(address).add(task);
        } else {
            task.run();
        }
    }

    private void scheduleTick(final String address, final ChainReplica replica) {
        schedule(now + TICK_MICROS, address, () -> {
            if (replicas.get(address) == replica) {
                replica.tick(now);
                clients.get(address).tick(now);
                performEffects(address, replica);
                scheduleTick(address, replica);
            }
        });
    }

    private void performEffects(final String address, final ChainReplica replica) {
        boolean more = true;
        while (more) {
            final List<Effect> all = new ArrayList<>(replica.drain());
            all.addAll(clients.get(address).drain());
            more = !all.isEmpty();
            all.forEach(effect -> performEffect(address, replica, effect));
        }
    }

    private void performEffect(final String address, final ChainReplica replica, final Effect effect) {
        switch (effect) {
            case Effect.Send s -> {
                if (s.to().equals(address)) {
                    dispatch(address, replica, s.message(), address);
                } else if (!cuts.contains(Set.of(address, s.to()))) {
                    deliver(address, s, () -> {
                        if (replicas.containsKey(s.to())) {
                            dispatch(s.to(), replicas.get(s.to()), s.message(), address);
                            performEffects(s.to(), replicas.get(s.to()));
                        }
                    });
                }
            }
            case Effect.Persist write -> writeLog(address, replica, write);
            case Effect.Respond a ->
                Optional.ofNullable(pendingCalls.remove(a.token())).ifPresent(x -> {
                    x.reply = Optional.of(a.response());
                    x.answeredAt = now;
                });
            case Effect.Log l -> logged.merge(l.event(), 1L, Long::sum);
        }
    }

    private void deliver(final String from, final Effect.Send send, final Runnable task) {
        links.ifPresentOrElse(
                l -> l.send(
                        from,
                        send.to(),
                        codec.encode(send.message()).length,
                        Message.urgent(send.message()),
                        now,
                        () -> whenThawed(send.to(), task)),
                () -> schedule(now + linkDelay + slowLinks.getOrDefault(Set.of(from, send.to()), 0L), send.to(), task));
    }

    private void writeLog(final String address, final ChainReplica replica, final Effect.Persist write) {
        final Optional<SimulatedDisk> disk = Optional.ofNullable(simulatedDisks.get(address));
        schedule(disk.map(d -> d.syncedAt(now, write.records())).orElse(now + syncMicros), address, () -> {
            if (replicas.get(address) != replica) {
                return;
            }
            if (!disk.map(d -> d.write(write.records())).orElse(true)) {
                replica.diskFailed("no space left");
                performEffects(address, replica);
                schedule(now + 1_000_000, () -> recover(address, replica));
                return;
            }
            write.records().forEach(n -> sync(address, n));
            replica.synced(write.token(), now);
            performEffects(address, replica);
        });
    }

    /** Opens the log again each second after a failed write, as the log's writer does. */
    private void recover(final String address, final ChainReplica broken) {
        if (replicas.get(address) != broken) {
            return;
        }
        if (simulatedDisks.get(address).full()) {
            schedule(now + 1_000_000, () -> recover(address, broken));
            return;
        }
        final ChainReplica next = broken.recovered(List.copyOf(disks.get(address)), now);
        replicas.put(address, next);
        clients.put(address, new ChainClient(address, next::view, lastOrder++ * 1_000_000));
        scheduleTick(address, next);
    }

    private void dispatch(
            final String address, final ChainReplica replica, final Message message, final String sender) {
        switch (message) {
            case ChainClientMessage.WriteReply m -> clients.get(address).onMessage(m, now);
            case ChainClientMessage.ReadReply m -> clients.get(address).onMessage(m, now);
            default -> replica.onMessage(message, sender, now);
        }
    }

    private record ScheduledTask(long at, long order, Runnable task) {}
}
