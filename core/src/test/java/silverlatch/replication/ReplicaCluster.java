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
import silverlatch.wire.Message;

/** Machines with ledgers and clerks on a fake clock: frames take a time, syncs take a time, and a power cut loses what wasn't synced. */
final class ReplicaCluster {
    static final long BEAT = 20_000;
    private List<String> seats;
    private final long hop;
    private final UnaryOperator<ChainReplica.Setup> setup;
    private final Map<String, ChainReplica> quays = new TreeMap<>();
    private final Map<String, ChainClient> clerks = new HashMap<>();
    private final Map<String, List<LogRecord>> disks = new TreeMap<>();
    private final Map<String, Long> newest = new HashMap<>();
    private final Map<String, String> names = new HashMap<>();
    private final Set<Set<String>> cuts = new HashSet<>();
    private final Map<Set<String>, Long> slowLinks = new HashMap<>();
    private final Map<String, List<Runnable>> frozen = new TreeMap<>();
    private long syncSpan = 2_000;
    private final PriorityQueue<Due> queue =
            new PriorityQueue<>(Comparator.comparingLong(Due::at).thenComparingLong(Due::turn));
    private final Map<Long, Asked> asked = new LinkedHashMap<>();
    private final Map<String, ModelDisk> modelDisks = new HashMap<>();
    private final Map<silverlatch.node.Event, Long> logged = new HashMap<>();
    private final silverlatch.wire.Codec frames = new silverlatch.wire.Codec();
    private Optional<BandwidthLinks> links = Optional.empty();
    private Optional<java.util.function.Supplier<ModelDisk>> diskModel = Optional.empty();
    private long now = 1_000_000;
    private long turn;
    private long stamp = 1_000;
    private long token;

    ReplicaCluster(final List<String> seats, final long hop, final UnaryOperator<ChainReplica.Setup> setup) {
        this.seats = seats;
        this.hop = hop;
        this.setup = setup;
    }

    /** Gives every machine a link of so many bytes a second and a disk with a time for each sync and a capacity. */
    ReplicaCluster limited(final long bytesPerSecond, final long sync, final long diskBytes) {
        links = Optional.of(new BandwidthLinks(bytesPerSecond, hop, (job, when) -> at(when, job)));
        diskModel = Optional.of(() -> new ModelDisk(sync, diskBytes));
        return this;
    }

    /** The links, where there is a limit. */
    BandwidthLinks links() {
        return links.orElseThrow();
    }

    /** The model of a machine's disk, where there is a limit. */
    ModelDisk modelDisk(final String seat) {
        return modelDisks.get(seat);
    }

    /** What a machine has on its disk. */
    List<LogRecord> disk(final String seat) {
        return disks.get(seat);
    }

    /** How often an event was logged by any machine. */
    long logged(final silverlatch.node.Event event) {
        return logged.getOrDefault(event, 0L);
    }

    /** What came of a wish or a question, and when. */
    static final class Asked {
        private final long at;
        private Optional<Object> reply = Optional.empty();
        private long end;

        Asked(final long at) {
            this.at = at;
        }

        boolean kept() {
            return reply.filter(r -> r instanceof CommandResult.Applied).isPresent();
        }

        long at() {
            return at;
        }

        long span() {
            return end - at;
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
        return quays.entrySet().stream()
                .map(e -> {
                    final ChainReplica.State s = e.getValue().state(now);
                    return "\n" + e.getKey() + " " + s.spot() + (s.level() ? " level" : "")
                            + (s.leased() ? " leased" : "") + " sequence " + s.sequence()
                            + " pending " + s.pending() + " view " + s.view().number() + " voters "
                            + s.view().voters() + " chain "
                            + s.view().chain().stream().map(Replica::address).toList();
                })
                .collect(java.util.stream.Collectors.joining());
    }

    long now() {
        return now;
    }

    ChainReplica quay(final String seat) {
        return quays.get(seat);
    }

    Set<String> up() {
        return Set.copyOf(quays.keySet());
    }

    /** Starts a machine: from its disk, or empty under a new identity. */
    void start(final String seat, final boolean found) {
        final List<LogRecord> disk = disks.computeIfAbsent(seat, s -> new ArrayList<>());
        diskModel.ifPresent(model -> modelDisks.computeIfAbsent(seat, s -> model.get()));
        final String name = names.computeIfAbsent(seat, s -> "id-" + s + "-" + ++turn);
        final ChainReplica q = new ChainReplica(
                setup.apply(ChainReplica.Setup.of(new Replica(name, seat), seats))
                        .founds(found),
                List.copyOf(disk),
                () -> new Stamp(++stamp),
                now);
        quays.put(seat, q);
        clerks.put(seat, new ChainClient(seat, q::view, turn++ * 1_000_000));
        beat(seat, q);
    }

    /** The seeds that machines started from now on are given. */
    void seeds(final List<String> next) {
        seats = List.copyOf(next);
    }

    /** How long a sync takes from now on. */
    void syncs(final long span) {
        syncSpan = span;
    }

    /** The machine's process stands still: what comes meanwhile waits for it. */
    void freeze(final String seat) {
        frozen.putIfAbsent(seat, new ArrayList<>());
    }

    /** The machine's process goes on with what waits for it. */
    void thaw(final String seat) {
        Optional.ofNullable(frozen.remove(seat)).ifPresent(jobs -> jobs.forEach(Runnable::run));
    }

    /** The machine's process ends, and its power with it. */
    void kill(final String seat) {
        frozen.remove(seat);
        quays.remove(seat);
        clerks.remove(seat);
        links.ifPresent(l -> l.drop(seat));
    }

    /** The machine's process stands still for so long; what comes meanwhile waits for it. */
    void freeze(final String seat, final long span) {
        freeze(seat);
        at(now + span, () -> thaw(seat));
    }

    /** The disk is lost; the next start is under a new identity. */
    void wipe(final String seat) {
        disks.remove(seat);
        newest.remove(seat);
        modelDisks.remove(seat);
        names.remove(seat);
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

    void pass(final long span) {
        final long end = now + span;
        while (!queue.isEmpty() && queue.peek().at() <= end) {
            final Due d = queue.poll();
            now = d.at();
            d.job().run();
        }
        now = end;
    }

    /** Passes time until something holds; how long it took, or -1 when it did not come. */
    long until(final long most, final java.util.function.BooleanSupplier what) {
        final long from = now;
        while (!what.getAsBoolean()) {
            if (now - from > most) {
                return -1;
            }
            pass(1_000);
        }
        return now - from;
    }

    static Command.PutConfiguration charter(final long number, final long match) {
        final Value.BackendPool pool = new Value.BackendPool("pool", "/", 1, 0, 1, 1, 0, 1);
        final Value.Route rule = new Value.Route(
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
                List.of(rule),
                List.of(pool),
                "paper " + number,
                match);
    }

    Asked lay(final String at, final long number, final long match, final long span) {
        return order(at, charter(number, match), span);
    }

    /** Hands a command to the client of one machine. */
    Asked order(final String at, final Command command, final long span) {
        final Asked a = new Asked(now);
        asked.put(++token, a);
        final long mine = token;
        final long end = now + span;
        final ChainReplica called = quays.get(at);
        whenThawed(at, () -> {
            if (quays.get(at) == called) {
                clerks.get(at).wish(command, mine, now, end);
                flush(at, called);
            }
        });
        return a;
    }

    Asked read(final String at, final long span) {
        return read(at, ConfigurationValidator.DOCUMENT_KEY, span);
    }

    /** Asks the tail for the entries whose keys start so. */
    Asked read(final String at, final String start, final long span) {
        final Asked a = new Asked(now);
        asked.put(++token, a);
        final long mine = token;
        final long end = now + span;
        final ChainReplica called = quays.get(at);
        whenThawed(at, () -> {
            if (quays.get(at) == called) {
                clerks.get(at).read(start, mine, now, end);
                flush(at, called);
            }
        });
        return a;
    }

    /** The number of the charter that a machine holds as acknowledged. */
    long held(final String seat) {
        return quays.get(seat)
                .books()
                .get(ConfigurationValidator.CONFIGURATION_KEY)
                .map(e -> ((Value.RoutingConfiguration) e.value().get(0)).number())
                .orElse(0L);
    }

    /** On how many of the disks a charter is synced, as a change or within a picture. */
    long synced(final long number) {
        return disks.keySet().stream().filter(seat -> synced(seat, number)).count();
    }

    /** Whether a charter, or a later one, is synced on the disk of one machine. */
    boolean synced(final String seat, final long number) {
        return newest.getOrDefault(seat, 0L) >= number;
    }

    /** The number of the newest charter of these entries, or 0. */
    private static long newest(final List<Entry> entries) {
        return entries.stream()
                .filter(e -> e.key().equals(ConfigurationValidator.CONFIGURATION_KEY))
                .mapToLong(e -> ((Value.RoutingConfiguration) e.value().get(0)).number())
                .max()
                .orElse(0);
    }

    private void sync(final String seat, final LogRecord note) {
        if (note instanceof LogRecord.Snapshot p) {
            disks.get(seat).clear();
            newest.put(seat, newest(p.entries()));
        } else if (note instanceof LogRecord.Appended x) {
            newest.merge(seat, newest(x.entry().puts()), Math::max);
        }
        disks.get(seat).add(note);
    }

    private void at(final long when, final Runnable job) {
        queue.add(new Due(when, turn++, job));
    }

    /** Does something on a machine, or when it thaws. */
    private void at(final long when, final String seat, final Runnable job) {
        at(when, () -> whenThawed(seat, job));
    }

    private void whenThawed(final String seat, final Runnable job) {
        if (frozen.containsKey(seat)) {
            frozen.get(seat).add(job);
        } else {
            job.run();
        }
    }

    private void beat(final String seat, final ChainReplica q) {
        at(now + BEAT, seat, () -> {
            if (quays.get(seat) == q) {
                q.tick(now);
                clerks.get(seat).tick(now);
                flush(seat, q);
                beat(seat, q);
            }
        });
    }

    private void flush(final String seat, final ChainReplica q) {
        boolean more = true;
        while (more) {
            final List<Effect> all = new ArrayList<>(q.drain());
            all.addAll(clerks.get(seat).drain());
            more = !all.isEmpty();
            all.forEach(e -> effect(seat, q, e));
        }
    }

    private void effect(final String seat, final ChainReplica q, final Effect e) {
        switch (e) {
            case Effect.Send s -> {
                if (s.to().equals(seat)) {
                    hand(seat, q, s.message(), seat);
                } else if (!cuts.contains(Set.of(seat, s.to()))) {
                    deliver(seat, s, () -> {
                        if (quays.containsKey(s.to())) {
                            hand(s.to(), quays.get(s.to()), s.message(), seat);
                            flush(s.to(), quays.get(s.to()));
                        }
                    });
                }
            }
            case Effect.Persist k -> keep(seat, q, k);
            case Effect.Respond a ->
                Optional.ofNullable(asked.remove(a.token())).ifPresent(x -> {
                    x.reply = Optional.of(a.response());
                    x.end = now;
                });
            case Effect.Log l -> logged.merge(l.event(), 1L, Long::sum);
        }
    }

    private void deliver(final String from, final Effect.Send send, final Runnable job) {
        links.ifPresentOrElse(
                l -> l.send(
                        from,
                        send.to(),
                        frames.encode(send.message()).length,
                        Message.urgent(send.message()),
                        now,
                        () -> whenThawed(send.to(), job)),
                () -> at(now + hop + slowLinks.getOrDefault(Set.of(from, send.to()), 0L), send.to(), job));
    }

    private void keep(final String seat, final ChainReplica q, final Effect.Persist k) {
        final Optional<ModelDisk> disk = Optional.ofNullable(modelDisks.get(seat));
        at(disk.map(d -> d.due(now, k.records())).orElse(now + syncSpan), seat, () -> {
            if (quays.get(seat) != q) {
                return;
            }
            if (!disk.map(d -> d.write(k.records())).orElse(true)) {
                q.broke("no space left");
                flush(seat, q);
                at(now + 1_000_000, () -> recover(seat, q));
                return;
            }
            k.records().forEach(n -> sync(seat, n));
            q.kept(k.token(), now);
            flush(seat, q);
        });
    }

    /** Opens the log again each second after a failed write, as the log's writer does. */
    private void recover(final String seat, final ChainReplica broken) {
        if (quays.get(seat) != broken) {
            return;
        }
        if (modelDisks.get(seat).full()) {
            at(now + 1_000_000, () -> recover(seat, broken));
            return;
        }
        final ChainReplica next = broken.recovered(List.copyOf(disks.get(seat)), now);
        quays.put(seat, next);
        clerks.put(seat, new ChainClient(seat, next::view, turn++ * 1_000_000));
        beat(seat, next);
    }

    private void hand(final String seat, final ChainReplica q, final Message msg, final String home) {
        switch (msg) {
            case Message.WriteReply m -> clerks.get(seat).on(m, now);
            case Message.ReadReply m -> clerks.get(seat).on(m, now);
            default -> q.on(msg, home, now);
        }
    }

    private record Due(long at, long turn, Runnable job) {}
}
