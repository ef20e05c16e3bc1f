package silverlatch.replication;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.LongConsumer;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;
import silverlatch.clock.PauseDetector;
import silverlatch.clock.Stamp;
import silverlatch.log.LogRecord;
import silverlatch.node.Effect;
import silverlatch.node.Event;
import silverlatch.safeguard.Safeguards;
import silverlatch.state.Command;
import silverlatch.state.ConfigurationValidator;
import silverlatch.state.Value;
import silverlatch.wire.ChainClientMessage;
import silverlatch.wire.Message;

/**
 * A simulated cluster of machines, each with a replica, a client and a log. Messages and syncs take simulated time, and a
 * machine that is killed loses the records that aren't synced. Times are microseconds of the simulated clock; everything
 * runs on the test's thread, in {@link #advance}.
 */
final class ReplicaCluster {
    static final long TICK_MICROS = 20_000;
    private static final long RECOVERY_RETRY_MICROS = 1_000_000;
    private static final long CALLS_OF_ONE_CLIENT = 1_000_000;

    private final UnaryOperator<ReplicaSettings> settings;
    private final SimulatedScheduler scheduler = new SimulatedScheduler();
    private final SimulatedLinks links;
    private final SimulatedLogs logs = new SimulatedLogs();
    private final Map<String, ChainReplica> replicas = new TreeMap<>();
    private final Map<String, ChainClient> clients = new HashMap<>();
    private final Map<String, List<Runnable>> frozen = new TreeMap<>();
    private final Map<Long, PendingCall> pendingCalls = new LinkedHashMap<>();
    private final Map<Event, Long> loggedEvents = new HashMap<>();
    private List<String> seeds;
    private long stamp = 1_000;
    private long lastToken;

    ReplicaCluster(
            final List<String> seeds, final long linkDelayMicros, final UnaryOperator<ReplicaSettings> settings) {
        this.seeds = seeds;
        this.links = new SimulatedLinks(scheduler, linkDelayMicros);
        this.settings = settings;
    }

    /** Limits the bandwidth of every machine's link, and the sync time and capacity of every machine's disk. */
    ReplicaCluster withLimits(final long bytesPerSecond, final long syncMicros, final long diskBytes) {
        links.limitBandwidth(bytesPerSecond);
        logs.limitDisks(() -> new SimulatedDisk(syncMicros, diskBytes));
        return this;
    }

    /** Returns the links with a bandwidth; throws NoSuchElementException if there is no limit. */
    BandwidthLinks links() {
        return links.bandwidthLinks().orElseThrow();
    }

    /** Returns the model of a machine's disk, or null if disks aren't limited. */
    SimulatedDisk simulatedDisk(final String address) {
        return logs.simulatedDisk(address).orElse(null);
    }

    /** Returns the records synced to a machine's disk; tests may change the list. */
    List<LogRecord> syncedRecords(final String address) {
        return logs.records(address);
    }

    /** Returns how often an event was logged, over all machines. */
    long loggedCount(final Event event) {
        return loggedEvents.getOrDefault(event, 0L);
    }

    /** Returns the status of all running replicas, for failure messages. */
    @Override
    public String toString() {
        return replicas.entrySet().stream()
                .map(entry ->
                        "\n" + entry.getKey() + " " + describe(entry.getValue().status(now())))
                .collect(Collectors.joining());
    }

    private static String describe(final ReplicaStatus status) {
        final View view = status.view();
        return status.state().label() + (status.isCaughtUp() ? " caught up" : "")
                + (status.isLeased() ? " leased" : "") + " sequence " + status.sequence()
                + " pending " + status.pendingEntries()
                + " view " + view.number()
                + " voters " + view.voters()
                + " chain " + view.chain().stream().map(Replica::address).toList();
    }

    long now() {
        return scheduler.now();
    }

    ChainReplica replica(final String address) {
        return replicas.get(address);
    }

    Set<String> running() {
        return Set.copyOf(replicas.keySet());
    }

    /** Starts a machine with the log on its disk, or with an empty log and a new identity if it has none. */
    void start(final String address, final boolean mayBootstrap) {
        final String identity = logs.open(address, () -> "id-" + address + "-" + (scheduler.nextUniqueNumber() + 1));
        final ChainReplica replica = new ChainReplica(
                settings.apply(ReplicaSettings.of(new Replica(identity, address), seeds))
                        .withBootstrap(mayBootstrap),
                List.copyOf(logs.records(address)),
                () -> new Stamp(++stamp),
                now());
        run(address, replica);
    }

    private void run(final String address, final ChainReplica replica) {
        replicas.put(address, replica);
        clients.put(
                address,
                new ChainClient(
                        address,
                        replica::view,
                        scheduler.nextUniqueNumber() * CALLS_OF_ONE_CLIENT,
                        new PauseDetector(Safeguards.ALL),
                        Safeguards.ALL));
        scheduleTick(address, replica);
    }

    /** Sets the seeds of machines that are started from now on. */
    void seeds(final List<String> addresses) {
        seeds = List.copyOf(addresses);
    }

    /** Sets the duration of each sync from now on, in microseconds; has no effect on limited disks. */
    void setSyncMicros(final long spanMicros) {
        logs.setSyncMicros(spanMicros);
    }

    /** Suspends the machine's process: messages, timers and completed syncs are queued until it is thawed. */
    void freeze(final String address) {
        frozen.putIfAbsent(address, new ArrayList<>());
    }

    /** Resumes the machine's process, which handles the queued events first. */
    void thaw(final String address) {
        Optional.ofNullable(frozen.remove(address)).ifPresent(tasks -> tasks.forEach(Runnable::run));
    }

    /** Kills the machine's process as a power cut does: records that aren't synced are lost. */
    void kill(final String address) {
        frozen.remove(address);
        replicas.remove(address);
        clients.remove(address);
        links.dropQueued(address);
    }

    /** Suspends the machine's process for this time, see {@link #freeze(String)}. */
    void freeze(final String address, final long spanMicros) {
        freeze(address);
        scheduler.schedule(now() + spanMicros, () -> thaw(address));
    }

    /** Deletes the machine's disk; its next start is with an empty log and a new identity. */
    void loseDisk(final String address) {
        logs.loseDisk(address);
    }

    /** Cuts or restores the link between two machines; messages sent while it is cut are lost. */
    void setCut(final String one, final String other, final boolean isCut) {
        links.setCut(one, other, isCut);
    }

    /**
     * Delays messages sent between two machines from now on by this additional time. Messages sent after {@link #heal} are
     * not delayed and overtake the delayed ones.
     */
    void setExtraDelay(final String one, final String other, final long extraMicros) {
        links.setExtraDelay(one, other, extraMicros);
    }

    /** Restores all cut links and removes all additional delays. */
    void heal() {
        links.heal();
    }

    void advance(final long spanMicros) {
        scheduler.advance(spanMicros);
    }

    /** Advances the clock until the condition holds; returns the time that took, or -1 if the limit passed before. */
    long advanceUntil(final long limitMicros, final BooleanSupplier condition) {
        return scheduler.advanceUntil(limitMicros, condition);
    }

    /** Returns a command that puts a valid configuration with one route and one pool, on top of the expected revision. */
    static Command.PutConfiguration configuration(final long number, final long expectedRevision) {
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
                "lay-" + number + "-" + expectedRevision,
                new Value.RoutingConfiguration(number, 1, 1, 1, 1),
                List.of(route),
                List.of(pool),
                "paper " + number,
                expectedRevision);
    }

    PendingCall putConfiguration(
            final String at, final long number, final long expectedRevision, final long timeoutMicros) {
        return submit(at, configuration(number, expectedRevision), timeoutMicros);
    }

    /** Submits a command to the client of one machine; the deadline is the timeout from now. */
    PendingCall submit(final String at, final Command command, final long timeoutMicros) {
        final long deadline = now() + timeoutMicros;
        return call(at, token -> clients.get(at).submit(command, token, now(), deadline));
    }

    /** Reads the configuration document through the client of one machine. */
    PendingCall read(final String at, final long timeoutMicros) {
        return read(at, ConfigurationValidator.DOCUMENT_KEY, timeoutMicros);
    }

    /** Reads the entries whose keys start with the prefix through the client of one machine. */
    PendingCall read(final String at, final String keyPrefix, final long timeoutMicros) {
        final long deadline = now() + timeoutMicros;
        return call(at, token -> clients.get(at).read(keyPrefix, token, now(), deadline));
    }

    private PendingCall call(final String at, final LongConsumer callClient) {
        final PendingCall call = new PendingCall(now());
        final long token = ++lastToken;
        pendingCalls.put(token, call);
        final ChainReplica called = replicas.get(at);
        whenThawed(at, () -> {
            if (replicas.get(at) == called) {
                callClient.accept(token);
                performEffects(at, called);
            }
        });
        return call;
    }

    /** Returns the number of the configuration that a machine has committed, or 0. */
    long committedNumber(final String address) {
        return replicas.get(address)
                .stateMachine()
                .get(ConfigurationValidator.CONFIGURATION_KEY)
                .map(e -> ((Value.RoutingConfiguration) e.value().get(0)).number())
                .orElse(0L);
    }

    /** Returns on how many disks this configuration, or a later one, is synced as an entry or in a snapshot. */
    long countSyncedDisks(final long number) {
        return logs.addresses().stream()
                .filter(address -> isSynced(address, number))
                .count();
    }

    /** Returns whether this configuration, or a later one, is synced on the disk of one machine. */
    boolean isSynced(final String address, final long number) {
        return logs.newestConfigurationNumber(address) >= number;
    }

    /** Runs a task of a machine at this time, or once its process is thawed if it is frozen then. */
    private void schedule(final long when, final String address, final Runnable task) {
        scheduler.schedule(when, () -> whenThawed(address, task));
    }

    private void whenThawed(final String address, final Runnable task) {
        if (frozen.containsKey(address)) {
            frozen.get(address).add(task);
        } else {
            task.run();
        }
    }

    private void scheduleTick(final String address, final ChainReplica replica) {
        schedule(now() + TICK_MICROS, address, () -> {
            if (replicas.get(address) == replica) {
                replica.tick(now());
                clients.get(address).tick(now());
                performEffects(address, replica);
                scheduleTick(address, replica);
            }
        });
    }

    private void performEffects(final String address, final ChainReplica replica) {
        boolean more = true;
        while (more) {
            final List<Effect> effects = new ArrayList<>(replica.drain());
            effects.addAll(clients.get(address).drain());
            more = !effects.isEmpty();
            effects.forEach(effect -> performEffect(address, replica, effect));
        }
    }

    private void performEffect(final String address, final ChainReplica replica, final Effect effect) {
        switch (effect) {
            case Effect.Send send -> send(address, replica, send);
            case Effect.Persist write -> writeLog(address, replica, write);
            case Effect.Respond response -> respond(response);
            case Effect.SaveReports save -> throw new IllegalStateException("a replica has no worker reports");
            case Effect.Log entry -> loggedEvents.merge(entry.event(), 1L, Long::sum);
        }
    }

    private void respond(final Effect.Respond response) {
        Optional.ofNullable(pendingCalls.remove(response.token()))
                .ifPresent(call -> call.complete(response.response(), now()));
    }

    private void send(final String address, final ChainReplica replica, final Effect.Send send) {
        final String receiver = send.to();
        if (receiver.equals(address)) {
            dispatch(address, replica, send.message(), address);
        } else if (!links.isCut(address, receiver)) {
            links.deliver(
                    address,
                    send,
                    () -> whenThawed(receiver, () -> {
                        if (replicas.containsKey(receiver)) {
                            dispatch(receiver, replicas.get(receiver), send.message(), address);
                            performEffects(receiver, replicas.get(receiver));
                        }
                    }));
        }
    }

    private void writeLog(final String address, final ChainReplica replica, final Effect.Persist write) {
        final Optional<SimulatedDisk> disk = logs.simulatedDisk(address);
        schedule(logs.syncedAt(address, now(), write.records()), address, () -> {
            if (replicas.get(address) != replica) {
                return;
            }
            if (!disk.map(limited -> limited.write(write.records())).orElse(true)) {
                replica.onDiskFailed("no space left");
                performEffects(address, replica);
                scheduler.schedule(now() + RECOVERY_RETRY_MICROS, () -> recover(address, replica));
                return;
            }
            write.records().forEach(record -> logs.addSynced(address, record));
            replica.onSynced(write.token(), now());
            performEffects(address, replica);
        });
    }

    /** Reopens the log once the disk accepts writes again, which is checked each second after a failed write as by the log writer. */
    private void recover(final String address, final ChainReplica broken) {
        if (replicas.get(address) != broken) {
            return;
        }
        if (logs.simulatedDisk(address).orElseThrow().isFull()) {
            scheduler.schedule(now() + RECOVERY_RETRY_MICROS, () -> recover(address, broken));
            return;
        }
        run(address, broken.recovered(List.copyOf(logs.records(address)), now()));
    }

    private void dispatch(
            final String address, final ChainReplica replica, final Message message, final String sender) {
        switch (message) {
            case ChainClientMessage.WriteReply reply -> clients.get(address).onMessage(reply, now());
            case ChainClientMessage.ReadReply reply -> clients.get(address).onMessage(reply, now());
            default -> replica.onMessage(message, sender, now());
        }
    }
}
