package silverlatch.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import silverlatch.clock.Stamp;
import silverlatch.dispatch.Budget;
import silverlatch.dispatch.Facts;
import silverlatch.dispatch.TraceLog;
import silverlatch.dispatch.buffer.Slab;
import silverlatch.gossip.Worker;
import silverlatch.node.Event;
import silverlatch.placement.Case;
import silverlatch.placement.PlacementInput;
import silverlatch.placement.ScorerResult;
import silverlatch.placement.WeightedScorers;
import silverlatch.state.TableRules;
import silverlatch.state.Value;

/**
 * Places the tickets that come by host and path, and decides what follows when a run breaks. It does no input or
 * output: events go in, moves come out. One duty owns it.
 */
public final class Router {
    private static final long SECOND = 1_000_000L;
    private static final double NEAR = 0.08;
    private static final int TALES = 2_000;
    private static final int SHOWN = 8;
    private final Setup setup;
    private final Supplier<Stamp> stamps;
    private final RandomGenerator luck;
    private final WeightedScorers last;
    private final Slab<Open> slab;
    private final Map<Long, Long> places = new HashMap<>();
    private final Map<Long, Long> jobs = new HashMap<>();
    private final Map<String, WorkerState> stands = new TreeMap<>();
    private final Map<String, Value.Tenant> tenants = new HashMap<>();
    private final Map<String, Long> tally = new TreeMap<>();
    private final List<RoutingEffect> out = new ArrayList<>();
    private final Budget budget;
    private final TrafficStatistics habits = new TrafficStatistics();
    private final Map<String, Reachability> reaches = new HashMap<>();
    private final TraceLog tales = new TraceLog(TALES);
    private RoutingTable charters = RoutingTable.NONE;
    private Facts facts;
    private long job;
    private int most = 1;
    private int peak = 1;
    private long turned;
    private boolean leaving;
    private boolean closing;

    /** Settings: open tickets at most, the part of extra tries, how old a word on a worker may be, in microseconds. */
    public record Setup(int slab, double tries, long word) {
        /** What holds when nothing is said. */
        public static final Setup PLAIN = new Setup(2_048, 0.1, Long.MAX_VALUE);
    }

    private static final class Open {
        final RoutedRequest fare;
        final Value.Route rule;
        final String pool;
        final long begun;
        final long end;
        final Stamp stamp;
        int tries;
        long place;
        long run;
        String worker = "";
        boolean begunReply;
        boolean mayHaveRun;
        final List<String> failed = new ArrayList<>();

        Open(final RoutedRequest fare, final Value.Route rule, final String pool, final long begun, final Stamp stamp) {
            this.fare = fare;
            this.rule = rule;
            this.pool = pool;
            this.begun = begun;
            this.stamp = stamp;
            this.end = begun + Math.min(fare.left(), rule.timeoutMicros());
        }
    }

    /** A gateway that carries nothing yet. */
    public Router(final Setup setup, final Facts facts, final Supplier<Stamp> stamps, final RandomGenerator luck) {
        this.setup = setup;
        this.facts = facts;
        this.stamps = stamps;
        this.luck = luck;
        this.last = WeightedScorers.last(setup.word(), silverlatch.safeguard.Safeguards.ALL);
        this.slab = new Slab<>(setup.slab());
        this.budget = new Budget(setup.tries(), 2);
    }

    /** Takes what the gateway knows now. */
    public void facts(final Facts next, final long now) {
        if (next.page() != facts.page() || charters == RoutingTable.NONE) {
            charters = new RoutingTable(next.policy());
            tenants.clear();
        }
        facts = next;
        facts.workers().forEach((id, h) -> {
            final WorkerState s = stands.computeIfAbsent(id, k -> new WorkerState(h, now));
            if (!s.worker.equals(h.worker()) || s.silent != h.silent()) {
                s.word(h, now);
            }
        });
        stands.values().removeIf(s -> s.runs.isEmpty() && !facts.workers().containsKey(s.worker.id()));
        if (now - turned > 30 * SECOND) {
            turned = now;
            most = peak;
            peak = 1;
        }
        peak = Math.max(peak, facts.crew().size() + 1);
        most = Math.max(most, peak);
    }

    /** The number of the charter in force here, or 0. */
    public long charter() {
        return charters.number();
    }

    /** What clients may send and how long they may rest, by the configuration in force here. */
    public Optional<Value.RoutingConfiguration> limits() {
        return charters.limits();
    }

    /** Whether tickets are taken, or why not. */
    public Optional<String> unready() {
        return leaving || closing
                ? Optional.of("stopping")
                : charters.number() == 0 ? Optional.of("no charter is known here yet") : Optional.empty();
    }

    /** This gateway is about to stop: it is no longer ready, but still takes what comes. */
    public void leave() {
        leaving = true;
    }

    /** No new ticket is taken from now on. */
    public void close() {
        closing = true;
    }

    /** How many tickets are under way. */
    public int open() {
        return slab.used();
    }

    /** Counts by name. */
    public Map<String, Long> tally() {
        return Map.copyOf(tally);
    }

    /** The stories of tickets. */
    public TraceLog tales() {
        return tales;
    }

    /** What is to be done; it is handed over once. */
    public List<RoutingEffect> drain() {
        final List<RoutingEffect> list = List.copyOf(out);
        out.clear();
        return list;
    }

    /** A ticket came in whole. */
    public void arrive(final RoutedRequest fare, final long now) {
        count("tickets");
        if (closing || charters.number() == 0) {
            reject(
                    fare.token(),
                    503,
                    closing ? SECOND / 20 : SECOND + luck.nextLong(SECOND / 2),
                    closing ? "stopping" : "no charter is known here yet");
            return;
        }
        final Optional<Value.Route> rule = charters.rule(fare.host(), fare.path());
        if (rule.isEmpty()) {
            reject(fare.token(), 404, 0, "no rule for " + fare.host() + fare.path());
            return;
        }
        final Open o = new Open(fare, rule.get(), lot(rule.get()), now, stamps.get());
        final Optional<Long> place = slab.put(o);
        if (place.isEmpty()) {
            reject(fare.token(), 503, SECOND / 2, "the slab is full");
            return;
        }
        o.place = place.get();
        places.put(fare.token(), o.place);
        budget.fresh(now);
        habits.note(fare, o.rule, now);
        send(o, now);
    }

    /** The reply's head has come and is passed on. */
    public void headed(final long run, final Optional<Load> load, final long now) {
        find(run).ifPresent(o -> {
            reach(stands.get(o.worker)).heard(now);
            o.begunReply = true;
            final WorkerState s = stands.get(o.worker);
            load.ifPresent(l -> s.load(l.running(), l.waiting(), l.slots(), now));
        });
    }

    /** An event was passed on. */
    public void heard(final long run, final long now) {
        find(run).ifPresent(o -> {
            final WorkerState s = stands.get(o.worker);
            final WorkerState.Run r = s.runs.get(run);
            r.heard = now;
            reach(s).heard(now);
            if (!r.first) {
                r.first = true;
                s.good(r, now);
            }
        });
    }

    /** A worker's whole reply that is no success is at hand; not passed on yet. */
    public void ill(final long run, final int status, final Optional<Load> load, final long now) {
        find(run).ifPresent(o -> {
            reach(stands.get(o.worker)).heard(now);
            load.ifPresent(l -> stands.get(o.worker).load(l.running(), l.waiting(), l.slots(), now));
            final boolean may = status >= 500 && o.rule.isRetryable() && o.tries < o.rule.maxAttempts() && now < o.end;
            if (may) {
                o.failed.add(o.worker);
            }
            if (may && !places(o, now).isEmpty() && budget.take(now)) {
                count("again_ill");
                o.mayHaveRun = true;
                drop(o, true, now);
                send(o, now);
            } else {
                out.add(new RoutingEffect.Pass(o.fare.token(), run));
            }
        });
    }

    /** The worker's reply was passed on whole. */
    public void ended(final long run, final boolean good, final long now) {
        find(run).ifPresent(o -> {
            count(good ? "done" : "passed");
            tales.state(o.fare.ticket(), good ? "done" : "passed", "");
            drop(o, !good, now);
            close(o);
        });
    }

    /** A run broke. */
    public void failed(final long run, final FailurePoint point, final long now) {
        find(run).ifPresent(o -> {
            count("broke_" + point.name().toLowerCase(java.util.Locale.ROOT));
            tales.state(o.fare.ticket(), "broke", point + " at " + o.worker);
            out.add(new RoutingEffect.Log(
                    Event.RUN_BROKE, o.worker + " " + point + " after " + (now - o.begun) / 1000 + " ms"));
            final WorkerState s = stands.get(o.worker);
            if (point == FailurePoint.UNSENT) {
                reach(s).missed(now);
            } else if (point == FailurePoint.NOT_RUN || point == FailurePoint.STRANGER) {
                reach(s).heard(now);
            }
            drop(o, point != FailurePoint.NOT_RUN, now);
            o.failed.add(o.worker);
            if (point == FailurePoint.NOT_RUN) {
                s.shunUntil = Math.max(s.shunUntil, now + 150_000);
            }
            final boolean free =
                    point == FailurePoint.UNSENT || point == FailurePoint.NOT_RUN || point == FailurePoint.STRANGER;
            o.mayHaveRun |= !free;
            final boolean may = (free
                            || o.rule.isRetryable()
                                    && (point != FailurePoint.BEGUN || o.rule.resumable() && o.rule.streaming()))
                    && now < o.end;
            final boolean left = point == FailurePoint.UNSENT && o.tries <= o.rule.maxAttempts() + 1
                    || o.tries < o.rule.maxAttempts();
            if (may && left && !places(o, now).isEmpty() && (point == FailurePoint.UNSENT || budget.take(now))) {
                o.tries -= point == FailurePoint.UNSENT ? 1 : 0;
                count("again");
                send(o, now);
            } else if (!o.mayHaveRun && !o.begunReply) {
                close(o);
                reject(o.fare.token(), 503, away(o), "no worker ran it");
            } else {
                close(o);
                out.add(new RoutingEffect.Fail(o.fare.token(), 502, "the worker broke off"));
            }
        });
    }

    /** The consumer is gone. */
    public void left(final long token, final long now) {
        Optional.ofNullable(places.get(token)).flatMap(slab::get).ifPresent(o -> {
            count("left");
            cut(o, now);
            close(o);
        });
    }

    /** A clock event. */
    public void tick(final long now) {
        for (final long token : List.copyOf(places.keySet())) {
            slab.get(places.get(token)).ifPresent(o -> look(o, now));
        }
    }

    /** Ends all that is under way. */
    public void end(final long now) {
        for (final long place : List.copyOf(places.values())) {
            slab.get(place).ifPresent(o -> {
                cut(o, now);
                close(o);
                out.add(new RoutingEffect.Fail(o.fare.token(), 502, "stopping"));
            });
        }
    }

    private void look(final Open o, final long now) {
        if (now >= o.end) {
            count("expired");
            tales.state(o.fare.ticket(), "expired", "its time is up");
            cut(o, now);
            close(o);
            out.add(new RoutingEffect.Fail(o.fare.token(), 504, "its time is up"));
            return;
        }
        final WorkerState s = stands.get(o.worker);
        final WorkerState.Run r = s.runs.get(o.run);
        final long patience = r.first
                ? Math.max(SECOND, 2 * o.rule.maxEventGapMicros())
                : Math.max(o.rule.latencyTargetMicros() * 3 / 4, 3 * r.guess);
        if (o.rule.isRetryable()
                && (!o.begunReply || o.rule.resumable())
                && o.tries < o.rule.maxAttempts()
                && now - r.heard > patience
                && !o.failed.contains(o.worker)) {
            out.add(new RoutingEffect.Log(Event.RUN_BROKE, o.worker + " silent for " + (now - r.heard) / 1000 + " ms"));
            final List<Pick> others = places(o, now).stream()
                    .filter(p -> !p.stand().worker.id().equals(o.worker))
                    .toList();
            if (!others.isEmpty() && budget.take(now)) {
                count("moved");
                o.mayHaveRun = true;
                o.failed.add(o.worker);
                out.add(new RoutingEffect.Cut(o.run));
                s.bad(now);
                drop(o, false, now);
                send(o, now);
            }
        }
    }

    private Reachability reach(final WorkerState s) {
        return reaches.computeIfAbsent(s.worker.region(), Reachability::new);
    }

    private String lot(final Value.Route rule) {
        final int sum =
                rule.backends().stream().mapToInt(Value.WeightedBackend::weight).sum();
        int at = sum <= 0 ? 0 : luck.nextInt(sum);
        for (final Value.WeightedBackend l : rule.backends()) {
            at -= l.weight();
            if (at < 0) {
                return l.pool();
            }
        }
        return rule.backends().isEmpty() ? "" : rule.backends().get(0).pool();
    }

    private record Pick(WorkerState stand, LatencyPredictor.View view) {}

    private List<Pick> places(final Open o, final long now) {
        final Value.Tenant who =
                tenants.computeIfAbsent(o.rule.name(), n -> new Value.Tenant(n, o.rule.homeRegions(), 1, "", ""));
        final Case plea = new Case(
                o.fare.ticket(),
                who,
                TableRules.defaultRow("*", o.rule.name()),
                List.of(),
                facts.me().zone(),
                facts.me().region(),
                facts.empty());
        final List<WorkerState> fit = stands.values().stream()
                .filter(s -> s.worker.pool().equals(o.pool) && facts.workers().containsKey(s.worker.id()))
                .filter(s -> last.stands(
                        plea,
                        new PlacementInput(
                                s.worker, facts.workers().get(s.worker.id()).age(now), 0, 0, 0, false, 1)))
                .filter(s -> !o.failed.contains(s.worker.id()))
                .filter(s -> !s.cold(now) || warm(s, o.pool, now))
                .toList();
        final Set<String> writers = habits.writers(
                stands.values().stream()
                        .filter(s -> s.worker.pool().equals(o.pool))
                        .toList(),
                now);
        final Map<Long, String> homes = homes(o.fare, fit, writers);
        final Map<String, Boolean> mute = new HashMap<>();
        fit.forEach(s -> mute.computeIfAbsent(s.worker.region(), r -> reach(s).mute(stands.values(), now)));
        return fit.stream()
                .map(s -> new Pick(
                        s,
                        LatencyPredictor.of(
                                o.fare, o.rule, s, facts.me().zone(), facts.me().region(), homes, writers, now)))
                .sorted(Comparator.comparingLong(p -> p.view().cost()
                        + (mute.get(p.stand().worker.region()) ? o.rule.latencyTargetMicros() * 2 : 0)
                        + (p.stand().shunned(now) ? o.rule.latencyTargetMicros() * 4 : 0)))
                .toList();
    }

    private Optional<Pick> pick(final Open o, final List<Pick> all, final long now) {
        if (all.isEmpty()) {
            return Optional.empty();
        }
        final long best = all.get(0).view().cost();
        final List<Pick> near = all.stream()
                .filter(p -> p.stand().shunned(now) == all.get(0).stand().shunned(now)
                        && p.stand()
                                .worker
                                .region()
                                .equals(all.get(0).stand().worker.region())
                        && p.view().cost() <= best + NEAR * o.rule.latencyTargetMicros())
                .toList();
        final List<Pick> least = near.stream()
                .sorted(Comparator.comparingInt(p -> p.stand().runs.size()))
                .toList();
        return LatencyPredictor.worth(o.fare.parts())
                ? Optional.of(all.get(0))
                : Optional.of(least.get(luck.nextInt(Math.min(2, least.size()))));
    }

    /**
     * For each shared part of a prompt the worker that keeps it by common rule: one of this region where such parts come up
     * often, else one of all regions, so that it is read once only.
     */
    private Map<Long, String> homes(final RoutedRequest fare, final List<WorkerState> fit, final Set<String> writers) {
        final Map<Long, String> homes = new HashMap<>();
        if (!LatencyPredictor.worth(fare.parts())) {
            return homes;
        }
        final String here = facts.me().region();
        final List<WorkerState> readers =
                fit.stream().filter(s -> !writers.contains(s.worker.id())).toList();
        final int gateways = 1
                + (int) facts.crew().stream()
                        .filter(m -> m.region().equals(here))
                        .count();
        final boolean near = readers.stream().anyMatch(s -> s.worker.region().equals(here)) && habits.often(gateways);
        final long key = LatencyPredictor.key(fare);
        readers.stream()
                .filter(s -> !near || s.worker.region().equals(here))
                .max(Comparator.comparingLong(s -> LatencyPredictor.draw(key, s.worker.id())))
                .ifPresent(s -> fare.parts()
                        .subList(0, fare.parts().size() - 1)
                        .forEach(p -> homes.put(p.name(), s.worker.id())));
        return homes;
    }

    /** Whether this gateway may send to a cold worker now: a few gateways named by hashing share what it bears. */
    private boolean warm(final WorkerState s, final String pool, final long now) {
        final double rate = charters.pool(pool)
                .map(Value.BackendPool::warmupRequestsPerSecond)
                .filter(r -> r > 0)
                .orElse(1.0);
        final int share = Math.max(1, Math.min(most, (int) Math.floor(rate)));
        final long mine = LatencyPredictor.draw(7, s.worker.id() + facts.me().id());
        final long before = facts.crew().stream()
                .filter(m -> LatencyPredictor.draw(7, s.worker.id() + m.id()) > mine)
                .count();
        final long gap = Math.max(SECOND, Math.round(share * SECOND / rate));
        return before < share && now - s.lastSent >= gap;
    }

    private void send(final Open o, final long now) {
        final List<Pick> all = places(o, now);
        final Optional<Pick> pick = pick(o, all, now);
        tales.put(new TraceLog.Tale(
                o.fare.ticket(),
                "",
                o.rule.name(),
                pick.map(p -> p.stand().worker.id()).orElse(""),
                facts.page(),
                o.stamp.bits(),
                pick.isEmpty() ? "nowhere" : "sent",
                "",
                o.tries,
                all.stream()
                        .limit(SHOWN)
                        .map(p -> new WeightedScorers.Opinion(
                                p.stand().worker.id(),
                                "outlook",
                                new ScorerResult.Score((double) o.rule.latencyTargetMicros()
                                        / Math.max(
                                                1,
                                                o.rule.latencyTargetMicros()
                                                        + p.view().cost())),
                                1))
                        .toList()));
        if (pick.isEmpty()) {
            count("nowhere");
            close(o);
            if (o.begunReply || o.mayHaveRun) {
                out.add(new RoutingEffect.Fail(o.fare.token(), 502, "no worker is allowed"));
            } else {
                reject(o.fare.token(), 503, away(o), "no worker is allowed");
            }
            return;
        }
        final WorkerState s = pick.get().stand();
        final Worker w = s.worker;
        job++;
        o.tries++;
        o.run = job;
        o.worker = w.id();
        s.runs.put(
                job,
                new WorkerState.Run(
                        now, pick.get().view().unread(), pick.get().view().first()));
        s.lastSent = now;
        o.fare.parts().forEach(p -> s.keep(p.name(), now));
        jobs.put(job, o.place);
        count("sends");
        out.add(new RoutingEffect.Send(
                o.fare.token(),
                job,
                w.id(),
                w.address(),
                o.end - now,
                o.rule.priority(),
                !o.rule.isRetryable(),
                o.rule.streaming()));
    }

    /** When to come back: soon where another worker may take it, later where none is known yet or the allowed ones are cold. */
    private long away(final Open o) {
        final boolean known =
                stands.values().stream().anyMatch(s -> s.worker.pool().equals(o.pool) && !s.worker.draining());
        if (!known) {
            return SECOND + luck.nextLong(SECOND / 2);
        }
        return Math.max(
                SECOND / 20,
                o.rule.latencyTargetMicros() / 4 + luck.nextLong(Math.max(1, o.rule.latencyTargetMicros() / 4)));
    }

    private Optional<Open> find(final long run) {
        return Optional.ofNullable(jobs.get(run)).flatMap(slab::get).filter(o -> o.run == run);
    }

    private void drop(final Open o, final boolean bad, final long now) {
        jobs.remove(o.run);
        Optional.ofNullable(stands.get(o.worker)).ifPresent(s -> {
            s.runs.remove(o.run);
            if (bad) {
                s.bad(now);
            }
        });
    }

    private void cut(final Open o, final long now) {
        out.add(new RoutingEffect.Cut(o.run));
        drop(o, false, now);
    }

    private void close(final Open o) {
        slab.drop(o.place);
        places.remove(o.fare.token());
    }

    private void reject(final long token, final int code, final long after, final String why) {
        count("rejected_" + code);
        out.add(new RoutingEffect.Reject(token, code, after, why));
    }

    private void count(final String name) {
        tally.merge(name, 1L, Long::sum);
    }

    /** What a worker's reply tells of its load. */
    public record Load(int running, int waiting, int slots) {}
}
