package silverlatch.dispatch;

import java.security.MessageDigest;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import silverlatch.clock.Stamp;
import silverlatch.dispatch.buffer.Slab;
import silverlatch.dispatch.permit.Permit;
import silverlatch.dispatch.permit.Seals;
import silverlatch.gossip.Gossip;
import silverlatch.gossip.Worker;
import silverlatch.membership.Member;
import silverlatch.node.Event;
import silverlatch.placement.Case;
import silverlatch.placement.PlacementInput;
import silverlatch.placement.WeightedScorers;
import silverlatch.safeguard.Safeguard;
import silverlatch.safeguard.Safeguards;
import silverlatch.state.Command;
import silverlatch.state.CommandResult;
import silverlatch.state.Value;
import silverlatch.statemachine.TransitionTable;

/**
 * Picks and carries the tickets of one gateway. It does no input or output: events go in, acts come out.
 * One duty owns it.
 */
public final class Dispatcher {
    private static final long SECOND = 1_000_000L;
    private static final int LINES = 256;
    private final Setup setup;
    private final Seals seals;
    private final Supplier<Stamp> stamps;
    private final RandomGenerator luck;
    private final WeightedScorers court;
    private final WeightedScorers last;
    private final TransitionTable chart = TransitionTable.load("ticket");
    private final Slab<Ticket> slab;
    private final Map<String, Long> open = new HashMap<>();
    private final Map<Long, Long> jobs = new HashMap<>();
    private final Map<String, Flow> flows = new TreeMap<>();
    private final TreeMap<String, Flow> waiting = new TreeMap<>();
    private final Map<String, Hand> hands = new HashMap<>();
    private final Map<String, Share> shares = new HashMap<>();
    private final LinkedHashMap<String, Long> spent = new LinkedHashMap<>();
    private final Deque<Ended> ended = new ArrayDeque<>();
    private final Map<Long, Long> readers = new HashMap<>();
    private final TraceLog tales = new TraceLog(20_000);
    private final Budget budget;
    private final Map<String, Long> tally = new TreeMap<>();
    private final List<Act> out = new ArrayList<>();
    private Facts facts;
    private long serial;
    private long job;
    private double clock;
    private long time;
    private long swept;
    private int queued;
    private boolean closing;

    /** Settings; times in microseconds. */
    public record Setup(
            int slab,
            int queue,
            long permit,
            long word,
            long sure,
            long claim,
            long keep,
            int buffer,
            double tries,
            long shun,
            long patience,
            long memory,
            long start,
            Safeguards guards) {
        /** What holds when nothing is said. */
        public static final Setup PLAIN = new Setup(
                4_096,
                2_048,
                2 * SECOND,
                2 * SECOND,
                2 * SECOND,
                SECOND,
                20 * SECOND,
                4 << 20,
                0.1,
                SECOND,
                5 * SECOND,
                30 * SECOND,
                SECOND,
                Safeguards.ALL);

        /** Settings as operators give them: all guards stand. */
        public Setup(
                final int slab,
                final int queue,
                final long permit,
                final long word,
                final long sure,
                final long claim,
                final long keep,
                final int buffer,
                final double tries,
                final long shun,
                final long patience,
                final long memory,
                final long start) {
            this(
                    slab,
                    queue,
                    permit,
                    word,
                    sure,
                    claim,
                    keep,
                    buffer,
                    tries,
                    shun,
                    patience,
                    memory,
                    start,
                    Safeguards.ALL);
        }

        /** The same under the guards that stand. */
        public Setup under(final Safeguards standing) {
            return new Setup(
                    slab, queue, permit, word, sure, claim, keep, buffer, tries, shun, patience, memory, start,
                    standing);
        }
    }

    /** A gateway that carries nothing yet. */
    public Dispatcher(
            final Setup setup,
            final Seals seals,
            final Facts facts,
            final Supplier<Stamp> stamps,
            final RandomGenerator luck) {
        this.setup = setup;
        this.seals = seals;
        this.facts = facts;
        this.stamps = stamps;
        this.luck = luck;
        this.court = WeightedScorers.full(setup.word(), setup.guards());
        this.last = WeightedScorers.last(setup.word(), setup.guards());
        this.slab = new Slab<>(setup.slab());
        this.budget = new Budget(setup.tries(), 1);
    }

    /** Takes what the gateway knows now. */
    public void facts(final Facts next, final long now) {
        if (next.me().incarnation() != facts.me().incarnation()) {
            flows.values()
                    .forEach(f -> List.copyOf(f.queue).forEach(t -> reject(t, 503, "the carrier joined anew", SECOND)));
        }
        if (next.workers() != facts.workers()) {
            next.workers()
                    .forEach((id, h) -> hands.computeIfAbsent(
                                    id, k -> new Hand(h.worker().incarnation()))
                            .see(h, now));
        }
        hands.keySet().removeIf(id -> !next.workers().containsKey(id) && hands.get(id).mine == 0);
        final boolean turned = next.page() != facts.page();
        facts = next;
        if (turned && up(Safeguard.KEPT)) {
            follow(now);
        }
        pump(now);
    }

    /** What is queued, runs or is kept of a tenant follows its homes, its key and its being there. */
    private void follow(final long now) {
        for (final long place : List.copyOf(open.values())) {
            slab.get(place).ifPresent(t -> {
                final Optional<Value.Tenant> who = same(t);
                final boolean mine = who.map(this::home).orElse(false);
                final boolean yours = mine
                        && (t.worker.isEmpty()
                                || !t.held
                                || Optional.ofNullable(facts.workers().get(t.worker))
                                        .map(h -> who.get().homeRegions().isEmpty()
                                                || who.get()
                                                        .homeRegions()
                                                        .contains(h.worker().region()))
                                        .orElse(true));
                if (!yours) {
                    count("homeless");
                    revoke(
                            t,
                            mine
                                    ? "the worker is no longer in the tenant's homes"
                                    : "the tenant may not be carried here any more",
                            now);
                }
            });
        }
        ended.stream()
                .filter(e -> !same(e.ticket()).map(this::home).orElse(false))
                .toList()
                .forEach(e -> {
                    ended.remove(e);
                    drop(e.ticket());
                    count("dropped");
                });
    }

    private Optional<Value.Tenant> same(final Ticket t) {
        return facts.tenant(t.permit.tenant()).filter(w -> w.keyHash().equals(t.tenant.keyHash()));
    }

    private void revoke(final Ticket t, final String why, final long now) {
        switch (t.state) {
            case "queued" -> reject(t, 503, why, SECOND);
            case "claiming" -> {
                release(t);
                t.claimed = true;
                reject(t, 503, why, SECOND);
            }
            case "asking", "running" -> {
                out.add(new Act.Cut(t.job));
                lose(t, why, now);
            }
            default -> {}
        }
    }

    /** Whether tickets are taken, or why not. */
    public Optional<String> unready(final long now) {
        if (closing) {
            return Optional.of("stopping");
        }
        return sure(now) ? Optional.empty() : Optional.of("the table held here is not confirmed");
    }

    /** No new ticket is taken from now on. */
    public void close() {
        closing = true;
    }

    /** How many tickets are under way. */
    public int open() {
        return open.size();
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
    public List<Act> drain() {
        final List<Act> list = List.copyOf(out);
        out.clear();
        return list;
    }

    /** A consumer asks where to go. */
    public void pick(final Order o, final long token, final long now) {
        count("picks");
        final Optional<Value.Tenant> who = facts.tenant(o.tenant());
        if (who.isEmpty() || !Seals.same(Seals.hash(o.secret()), who.get().keyHash())) {
            final Optional<String> why = unready(now);
            no(
                    token,
                    why.isPresent() ? 503 : 401,
                    "",
                    why.orElse("the tenant or its key is not known"),
                    why.isPresent() ? SECOND : 0,
                    "");
            return;
        }
        final List<String> homes = who.get().homeRegions();
        final Set<String> empty = facts.empty();
        final boolean home = home(who.get());
        if (!home || emptied() || unready(now).isPresent()) {
            point(token, homes, empty, home, now);
            return;
        }
        final Optional<Value.Row> row = facts.row(o.tenant(), o.kind());
        if (row.isEmpty()) {
            no(token, 422, "", "$.kind: no kind " + o.kind(), 0, "");
            return;
        }
        if (row.get().atMostOnce() && o.key().isEmpty()) {
            no(token, 422, "", "$.key: kind " + o.kind() + " runs once only and needs a key", 0, "");
            return;
        }
        final Flow flow = flow(o.tenant(), o.kind());
        final int peers = peers(who.get());
        if (!flow.take(
                row.get().requestsPerSecond() / peers, Math.max(1, row.get().burstRequests() / peers), now)) {
            no(token, 429, "", "over the rate of " + row.get().requestsPerSecond() + " a second", SECOND, "");
            return;
        }
        if (o.tries() > 0 && !budget.take(now) && up(Safeguard.TRIES)) {
            no(token, 429, "", "too many tickets are tried again", 2 * SECOND, "");
            return;
        }
        final String ticket = facts.me().id() + "-" + Long.toString(facts.me().incarnation(), 36) + "-"
                + Long.toString(++serial, 36) + Long.toString(luck.nextLong() >>> 20, 36);
        final Case plea = plea(ticket, who.get(), row.get(), salted(who.get(), o.prefix()));
        final long stampOf = stamps.get().bits();
        final WeightedScorers.Ruling ruling = judged(plea, sights(now), stampOf);
        if (ruling instanceof WeightedScorers.Ruling.Barred) {
            tales.put(new TraceLog.Tale(
                    ticket,
                    o.tenant(),
                    o.kind(),
                    "",
                    facts.page(),
                    stampOf,
                    "rejected",
                    "no worker is allowed",
                    0,
                    ruling.opinions()));
            no(token, 503, ticket, "no worker is allowed", SECOND, "");
            return;
        }
        final String worker = ruling instanceof WeightedScorers.Ruling.Picked p
                ? p.worker().worker().id()
                : "";
        final Stamp stamp = new Stamp(stampOf);
        final Permit permit = new Permit(
                ticket,
                o.tenant(),
                o.kind(),
                worker,
                facts.me().id(),
                facts.me().incarnation(),
                facts.page(),
                stamp,
                now + setup.permit(),
                o.key());
        tales.put(new TraceLog.Tale(
                ticket, o.tenant(), o.kind(), worker, facts.page(), stamp.bits(), "picked", "", 0, ruling.opinions()));
        out.add(new Act.Picked(
                token, ticket, facts.me().httpAddress(), seals.write(permit), worker, facts.page(), stamp.bits()));
    }

    /** A consumer hands over its ticket. */
    public void ticket(final Load l, final long token, final long now) {
        count("tickets");
        final Optional<Permit> read = seals.read(l.permit());
        if (read.isEmpty()) {
            no(token, 403, "", "the permit bears no seal of ours", 0, "");
            return;
        }
        final Permit p = read.get();
        final Optional<Value.Tenant> who = facts.tenant(p.tenant());
        if (who.map(w -> !Seals.same(w.keyHash(), Seals.hash(l.secret()))).orElse(true)) {
            no(token, 401, "", "the tenant or its key is not known", 0, "");
            return;
        }
        if (spent.containsKey(p.ticket()) && up(Safeguard.SPENT)) {
            no(token, 409, p.ticket(), "the ticket was handed over before", 0, "");
            return;
        }
        if (!p.carrier().equals(facts.me().id())
                || up(Safeguard.LIFE) && (p.life() != facts.me().incarnation() || now - p.expiry() > setup.memory())) {
            no(
                    token,
                    410,
                    p.ticket(),
                    "the permit is of another time; whether its ticket ran is not known here",
                    0,
                    "");
            return;
        }
        if (now >= p.expiry() && up(Safeguard.LIFE)) {
            no(token, 503, p.ticket(), "the permit is stale", SECOND / 2, "");
            return;
        }
        spent.put(p.ticket(), p.expiry());
        final Optional<String> why = unready(now);
        if (why.isPresent()) {
            over(token, p.ticket(), 503, why.get());
            return;
        }
        final Optional<Value.Row> row = facts.row(p.tenant(), p.kind());
        if (row.isEmpty()) {
            over(token, p.ticket(), 422, "no kind " + p.kind() + " any more");
            return;
        }
        if (keyless(row.get(), p)) {
            over(token, p.ticket(), 422, "kind " + p.kind() + " runs once only by now and needs a key");
            return;
        }
        final boolean home = home(who.get());
        if (!home || emptied()) {
            over(token, p.ticket(), 503, home ? "this zone is being emptied" : "this region is no home");
            return;
        }
        final Flow flow = flow(p.tenant(), p.kind());
        if (flow.queue.size() >= Math.max(1, row.get().maxQueued() / peers(who.get())) || !room(row.get())) {
            over(token, p.ticket(), 429, "the queue is full");
            return;
        }
        final Ticket t = new Ticket(
                p,
                who.get(),
                row.get(),
                salted(who.get(), l.prefix()),
                l.prompt(),
                now + l.span(),
                now + Math.min(row.get().timeoutMicros(), l.span()),
                token,
                chart.initialState());
        final Optional<Long> place = slab.put(t);
        if (place.isEmpty()) {
            over(token, p.ticket(), 503, "the slab is full");
            return;
        }
        t.place = place.get();
        open.put(p.ticket(), t.place);
        readers.put(token, t.place);
        move(t, "queue");
        join(flow, t, false);
        final boolean stale = p.page() < facts.page()
                || facts.workers().containsKey(p.worker())
                        && facts.drained(
                                facts.workers().get(p.worker()).worker().zone(), p.stamp());
        if (stale) {
            count("stale");
        }
        t.want = stale ? Optional.empty() : Optional.of(p.worker()).filter(w -> !w.isEmpty());
        pump(now);
    }

    /** A consumer comes back to a ticket's stream, from a piece on. */
    public void attach(final String ticket, final String secret, final long from, final long token, final long now) {
        final Optional<Ticket> found = Optional.ofNullable(open.get(ticket))
                .flatMap(slab::get)
                .or(() -> ended.stream()
                        .map(Ended::ticket)
                        .filter(t -> t.permit.ticket().equals(ticket))
                        .findFirst())
                .filter(t -> Seals.same(t.tenant.keyHash(), Seals.hash(secret)))
                .filter(t -> same(t).map(this::home).orElse(false) || !up(Safeguard.KEPT));
        if (found.isEmpty() || from < 0 || from > found.get().lines.size()) {
            no(token, 404, "", "no such ticket or piece", 0, "");
            return;
        }
        if (!sure(now) && up(Safeguard.KEPT)) {
            no(token, 425, ticket, "the table held here is not confirmed; read again a little later", SECOND, "");
            return;
        }
        final Ticket t = found.get();
        if (t.state.equals("rejected")) {
            no(token, 503, ticket, t.why, SECOND, "");
            return;
        }
        t.reader.filter(r -> r != token).ifPresent(r -> {
            readers.remove(r);
            out.add(new Act.Flow(r, List.of(), true));
        });
        t.reader = Optional.of(token);
        t.left = Optional.empty();
        t.sent = (int) from;
        t.hungry = true;
        readers.put(token, t.place);
        feed(t);
    }

    /** The consumer's side can take more. */
    public void hungry(final long token) {
        Optional.ofNullable(readers.get(token))
                .flatMap(slab::get)
                .filter(t -> t.reader.map(r -> r == token).orElse(false))
                .ifPresent(t -> {
                    t.hungry = true;
                    feed(t);
                });
    }

    /** The consumer's connection went away. */
    public void left(final long token, final long now) {
        Optional.ofNullable(readers.remove(token))
                .flatMap(slab::get)
                .filter(t -> t.reader.map(r -> r == token).orElse(false))
                .ifPresent(t -> {
                    t.reader = Optional.empty();
                    t.left = Optional.of(now);
                    if (t.state.equals("queued")) {
                        reject(t, 503, "the consumer went away", 0);
                    }
                });
    }

    /** A verdict of the chain on a job's wish. */
    public void verdict(final long id, final CommandResult v, final long now) {
        job(id).filter(t -> t.state.equals("claiming")).ifPresent(t -> {
            switch (v) {
                case CommandResult.Applied k -> {
                    t.claimed = true;
                    ask(t, now);
                }
                case CommandResult.AlreadyClaimed s -> {
                    release(t);
                    if (s.claim().state().equals("rejected")) {
                        reject(t, 503, "the key was claimed by a ticket that was rejected", SECOND / 2);
                        return;
                    }
                    t.why = "the key is taken";
                    finish(t, "reject");
                    no(
                            t,
                            409,
                            "the key is taken",
                            0,
                            s.claim().state() + " at " + s.claim().gatewayId() + " as "
                                    + s.claim().requestId());
                }
                case CommandResult.Rejected r -> {
                    release(t);
                    reject(t, r.code() == 507 ? 507 : 503, String.join("; ", r.faults()), SECOND);
                }
                case CommandResult.Unknown u -> {
                    t.claimed = true;
                    release(t);
                    reject(t, 503, "the claim could not be confirmed in time", SECOND);
                }
            }
        });
        pump(now);
    }

    /** The worker said that it starts. */
    public void begun(final long id) {
        job(id).filter(t -> t.state.equals("asking")).ifPresent(t -> move(t, "start"));
    }

    /** The worker sent a line. */
    public void line(final long id, final Line line, final long now) {
        job(id).ifPresent(t -> {
            if (t.state.equals("asking")) {
                move(t, "start");
            }
            final Optional<String> fault = fault(t, line);
            if (fault.isPresent()) {
                out.add(new Act.Log(Event.WORKER_BROKE, t.worker + " ticket " + t.permit.ticket() + " " + fault.get()));
                out.add(new Act.Cut(id));
                lose(t, "the worker broke the stream: " + fault.get(), now);
                return;
            }
            t.lines.add(line);
            if (line instanceof Line.Piece p) {
                final byte[] bytes = p.text().getBytes(java.nio.charset.StandardCharsets.UTF_8);
                t.sum.update(bytes);
                t.bytes += bytes.length;
                if (t.bytes > setup.buffer()) {
                    out.add(new Act.Cut(id));
                    lose(t, "the reply is larger than the buffer", now);
                    return;
                }
                feed(t);
            } else {
                release(t);
                finish(t, "seal");
                feed(t);
                pump(now);
            }
        });
    }

    /** The exchange with the worker ended without a seal; started is false only where it provably did not begin. */
    public void failed(final long id, final boolean started, final String why, final long now) {
        job(id).ifPresent(t -> {
            if ((started || t.state.equals("running")) && up(Safeguard.BEGUN)) {
                lose(t, why, now);
                return;
            }
            if (t.state.equals("running")) {
                t.state = "asking";
            }
            shun(t.worker, now);
            release(t);
            if (now < t.hold && t.tries < 2 && (budget.take(now) || !up(Safeguard.TRIES))) {
                count("again");
                move(t, "again");
                t.want = Optional.empty();
                join(flow(t.permit.tenant(), t.permit.kind()), t, true);
            } else {
                reject(t, 503, "the worker did not take it: " + why, SECOND);
            }
            pump(now);
        });
    }

    /** A clock event. */
    public void tick(final long now) {
        time = now;
        for (final var all = spent.entrySet().iterator(); all.hasNext(); ) {
            final Map.Entry<String, Long> e = all.next();
            if (now - e.getValue() <= 3 * setup.memory()) {
                break;
            }
            if (!open.containsKey(e.getKey())) {
                all.remove();
            }
        }
        while (!ended.isEmpty() && (ended.peek().at() + setup.keep() < now || ended.size() > setup.slab())) {
            drop(ended.poll().ticket());
        }
        for (final Flow f : List.copyOf(waiting.values())) {
            for (final Ticket t : List.copyOf(f.queue)) {
                if (now >= t.hold) {
                    reject(t, 503, "no room came in time", SECOND);
                }
            }
        }
        for (final long place : List.copyOf(open.values())) {
            slab.get(place)
                    .filter(t -> t.state.equals("running") || t.state.equals("asking"))
                    .ifPresent(t -> {
                        final boolean alone =
                                t.left.map(at -> now - at > setup.patience()).orElse(false);
                        final boolean mute = t.state.equals("asking") && now - t.asked > setup.start();
                        if (now >= t.expiry || alone || mute) {
                            out.add(new Act.Cut(t.job));
                            lose(
                                    t,
                                    alone
                                            ? "the consumer went away"
                                            : mute ? "the worker gave no sign of a start in time" : "the expiry passed",
                                    now);
                        }
                    });
        }
        if (now - swept >= SECOND) {
            swept = now;
            if (flows.values().removeIf(f -> f.idle(now))) {
                shares.keySet()
                        .retainAll(flows.values().stream()
                                .map(f -> f.tenant)
                                .collect(java.util.stream.Collectors.toSet()));
            }
        }
        pump(now);
    }

    /** Ends all that is under way, as a process does at the end of its grace. */
    public void end(final long now) {
        flows.values().forEach(f -> List.copyOf(f.queue).forEach(t -> reject(t, 503, "stopping", SECOND)));
        for (final long place : List.copyOf(open.values())) {
            slab.get(place).ifPresent(t -> {
                revoke(t, "stopping", now);
            });
        }
    }

    private Optional<Ticket> job(final long id) {
        return Optional.ofNullable(jobs.get(id)).flatMap(slab::get).filter(t -> t.job == id);
    }

    private void point(
            final long token, final List<String> homes, final Set<String> empty, final boolean home, final long now) {
        final List<String> doors = new ArrayList<>(facts.crew().stream()
                .filter(Member::ready)
                .filter(m -> m.state().equals("up") && !empty.contains(m.zone()))
                .filter(m -> homes.isEmpty() || homes.contains(m.region()))
                .map(Member::httpAddress)
                .toList());
        if (doors.isEmpty()) {
            no(
                    token,
                    503,
                    "",
                    unready(now).orElse(home ? "this zone is being emptied" : "no gateway in the homes is ready"),
                    SECOND,
                    "");
            return;
        }
        java.util.Collections.shuffle(doors, new java.util.Random(luck.nextLong()));
        count("pointed");
        out.add(new Act.Pointed(token, doors.subList(0, Math.min(3, doors.size()))));
    }

    private boolean up(final Safeguard guard) {
        return setup.guards().isEnabled(guard);
    }

    private boolean sure(final long now) {
        return facts.fresh(now, setup.sure()) || !up(Safeguard.SURE);
    }

    /** Whether this gateway may take the tenant's tickets, as far as homes go. */
    private boolean home(final Value.Tenant who) {
        return who.homeRegions().isEmpty()
                || who.homeRegions().contains(facts.me().region())
                || !up(Safeguard.SENT);
    }

    private static boolean keyless(final Value.Row row, final Permit p) {
        return row.atMostOnce() && p.key().isEmpty();
    }

    private boolean emptied() {
        return facts.empty().contains(facts.me().zone()) && up(Safeguard.ZONE);
    }

    private void pump(final long now) {
        if (!sure(now)) {
            return;
        }
        final Set<Flow> stuck = new java.util.HashSet<>();
        while (true) {
            final Optional<Flow> next = waiting.values().stream()
                    .filter(f -> !stuck.contains(f))
                    .min(Comparator.comparingDouble((Flow f) -> share(f).tag)
                            .thenComparing(f -> -f.queue.peek().row.priority())
                            .thenComparingDouble(f -> f.tag));
            if (next.isEmpty()) {
                return;
            }
            final Flow f = next.get();
            final Ticket t = f.queue.peek();
            final Value.Row row = facts.row(t.permit.tenant(), t.permit.kind()).orElse(t.row);
            if (f.running >= Math.max(1, (row.maxRunning() + peers(t.tenant) - 1) / peers(t.tenant))) {
                stuck.add(f);
                continue;
            }
            switch (place(t, row, now)) {
                case WeightedScorers.Ruling.Picked p -> {
                    quit(f, t);
                    final Share share = share(f);
                    clock = Math.max(clock, share.tag);
                    share.tag = clock + t.cost() / Math.max(0.001, t.tenant.quotaShare());
                    f.tag = clock;
                    f.running++;
                    t.worker = p.worker().worker().id();
                    t.held = true;
                    hands.get(t.worker).start(now);
                    if (!t.permit.key().isEmpty() && !t.claimed) {
                        claim(t);
                    } else {
                        ask(t, now);
                    }
                }
                case WeightedScorers.Ruling.Full full -> stuck.add(f);
                case WeightedScorers.Ruling.Barred barred -> reject(t, 503, "no worker is allowed", SECOND);
            }
        }
    }

    private WeightedScorers.Ruling place(final Ticket t, final Value.Row row, final long now) {
        final Optional<Value.Tenant> who = facts.tenant(t.permit.tenant());
        if (who.isEmpty() || !home(who.get())) {
            return new WeightedScorers.Ruling.Barred(List.of());
        }
        final Case plea = plea(t.permit.ticket(), who.get(), row, t.prefix);
        final List<PlacementInput> all = sights(now);
        final Optional<PlacementInput> wanted = t.want.flatMap(
                        w -> all.stream().filter(s -> s.worker().id().equals(w)).findFirst())
                .filter(s -> court.stands(plea, s));
        if (wanted.isPresent() && t.permit.page() == facts.page()) {
            return new WeightedScorers.Ruling.Picked(wanted.get(), List.of());
        }
        final long stamp = stamps.get().bits();
        final WeightedScorers.Ruling ruling = judged(plea, all, stamp);
        if (ruling instanceof WeightedScorers.Ruling.Picked p) {
            tales.put(new TraceLog.Tale(
                    t.permit.ticket(),
                    t.permit.tenant(),
                    t.permit.kind(),
                    p.worker().worker().id(),
                    facts.page(),
                    stamp,
                    t.state,
                    "",
                    t.tries,
                    ruling.opinions()));
        }
        return ruling;
    }

    private WeightedScorers.Ruling judged(final Case plea, final List<PlacementInput> all, final long stamp) {
        final long seed = luck.nextLong() >>> 12;
        final WeightedScorers.Ruling ruling = court.pick(plea, all, new java.util.SplittableRandom(seed));
        if (!(ruling instanceof WeightedScorers.Ruling.Full)) {
            out.add(new Act.Judged(
                    plea,
                    all,
                    seed,
                    facts.page(),
                    stamp,
                    ruling instanceof WeightedScorers.Ruling.Picked p
                            ? p.worker().worker().id()
                            : ""));
        }
        return ruling;
    }

    private void claim(final Ticket t) {
        move(t, "claim");
        job(t);
        t.at = stamps.get().bits();
        out.add(new Act.Claim(
                t.job,
                new Command.Claim(
                        t.permit.ticket(),
                        t.key(),
                        t.permit.ticket(),
                        facts.me().id(),
                        t.at),
                setup.claim()));
    }

    private void ask(final Ticket t, final long now) {
        final Optional<Gossip.ObservedWorker> w =
                Optional.ofNullable(facts.workers().get(t.worker));
        final Optional<Value.Row> row = facts.row(t.permit.tenant(), t.permit.kind());
        final Optional<Value.Tenant> who = facts.tenant(t.permit.tenant());
        final boolean stands = w.isPresent()
                && row.isPresent()
                && who.isPresent()
                && sure(now)
                && now < t.expiry
                && !keyless(row.get(), t.permit)
                && allowed(t, who.get(), row.get(), w.get(), now);
        if (!stands) {
            release(t);
            reject(t, 503, "the pick grew stale before it was sent", SECOND / 2);
            return;
        }
        move(t, "ask");
        job(t);
        t.tries++;
        t.asked = now;
        t.run = t.permit.ticket() + "." + t.tries;
        count("asked");
        if (t.tries > 1) {
            count("extra");
        } else {
            budget.fresh(now);
        }
        final Worker x = w.get().worker();
        out.add(new Act.Run(
                t.job,
                now + setup.start(),
                x.id(),
                x.address(),
                t.permit.ticket(),
                t.run,
                t.permit.tenant(),
                t.permit.kind(),
                t.prefix,
                t.prompt));
    }

    private boolean allowed(
            final Ticket t,
            final Value.Tenant who,
            final Value.Row row,
            final Gossip.ObservedWorker h,
            final long now) {
        final Case plea = plea(t.permit.ticket(), who, row, t.prefix);
        final PlacementInput s = new PlacementInput(h.worker(), h.age(now), 0, 0, Long.MAX_VALUE, false, 1);
        return last.stands(plea, s);
    }

    private void job(final Ticket t) {
        jobs.remove(t.job);
        t.job = ++job;
        jobs.put(t.job, t.place);
    }

    private Optional<String> fault(final Ticket t, final Line line) {
        return switch (line) {
            case Line.Piece p ->
                up(Safeguard.LINE) && !p.ticket().equals(t.permit.ticket())
                        ? Optional.of("a piece of another ticket")
                        : up(Safeguard.LINE) && !p.run().equals(t.run)
                                ? Optional.of("a piece of another run")
                                : up(Safeguard.PIECE) && p.number() != t.lines.size()
                                        ? Optional.of("piece " + p.number() + " where " + t.lines.size() + " was due")
                                        : Optional.empty();
            case Line.Seal s ->
                !up(Safeguard.SEAL)
                        ? Optional.empty()
                        : !s.ticket().equals(t.permit.ticket())
                                        || !s.run().equals(t.run)
                                        || !s.worker().equals(t.worker)
                                ? Optional.of("a seal of another ticket, run or worker")
                                : s.count() != t.lines.size()
                                        ? Optional.of("a seal over " + s.count() + " pieces where " + t.lines.size()
                                                + " came")
                                        : !s.sha().equals(HexFormat.of().formatHex(copy(t.sum)))
                                                ? Optional.of("a seal that does not fit")
                                                : Optional.empty();
            case Line.Lost l -> Optional.of(l.why());
        };
    }

    private static byte[] copy(final MessageDigest sum) {
        try {
            return ((MessageDigest) sum.clone()).digest();
        } catch (final CloneNotSupportedException e) {
            throw new IllegalStateException(e);
        }
    }

    private void feed(final Ticket t) {
        final boolean over = chart.isFinal(t.state);
        if (t.reader.isEmpty() || !t.hungry || t.state.equals("rejected") || t.lines.size() == t.sent && !over) {
            return;
        }
        final int end = Math.min(t.lines.size(), t.sent + LINES);
        final boolean last = over && end == t.lines.size();
        out.add(new Act.Flow(t.reader.get(), t.lines.subList(t.sent, end), last));
        t.sent = end;
        t.hungry = false;
        if (last) {
            readers.remove(t.reader.get());
            t.reader = Optional.empty();
        }
    }

    private void lose(final Ticket t, final String why, final long now) {
        release(t);
        t.why = why;
        t.lines.add(new Line.Lost(t.permit.ticket(), why));
        out.add(new Act.Log(Event.TICKET_LOST, t.permit.ticket() + " " + why));
        if (t.state.equals("asking")) {
            shun(t.worker, now);
        }
        finish(t, "lose");
        feed(t);
        pump(now);
    }

    private void reject(final Ticket t, final int code, final String why, final long after) {
        quit(flow(t.permit.tenant(), t.permit.kind()), t);
        t.why = why;
        finish(t, "reject");
        no(t, code, why, after, "");
    }

    private void no(final Ticket t, final int code, final String why, final long after, final String stands) {
        t.reader.ifPresent(r -> {
            readers.remove(r);
            no(r, code, t.permit.ticket(), why, after, stands);
        });
        t.reader = Optional.empty();
    }

    private void finish(final Ticket t, final String event) {
        move(t, event);
        count(t.state);
        out.add(new Act.Ended(t.permit.ticket(), t.state, t.why));
        jobs.remove(t.job);
        open.remove(t.permit.ticket());
        if (t.claimed) {
            out.add(new Act.Claim(
                    0,
                    new Command.CompleteClaim(
                            t.run + "/" + t.state,
                            t.key(),
                            t.permit.ticket(),
                            facts.me().id(),
                            t.state,
                            t.at),
                    30 * SECOND));
        }
        ended.add(new Ended(t, time));
        t.prompt = "";
    }

    private void drop(final Ticket t) {
        t.reader.ifPresent(r -> {
            readers.remove(r);
            out.add(new Act.Flow(r, List.of(), true));
        });
        slab.drop(t.place);
    }

    private void over(final long token, final String ticket, final int code, final String why) {
        tales.state(ticket, "rejected", why);
        count("rejected");
        no(token, code, ticket, why, SECOND, "");
    }

    private void no(
            final long token,
            final int code,
            final String ticket,
            final String why,
            final long after,
            final String stands) {
        count("code" + code);
        if (!ticket.isEmpty()) {
            out.add(new Act.Log(Event.TICKET_REJECTED, ticket + " " + code + " " + why));
        }
        out.add(new Act.Rejected(token, code, ticket, why, after == 0 ? 0 : after + luck.nextLong(after), stands));
    }

    private void move(final Ticket t, final String event) {
        t.state = chart.transition(t.state, event);
        tales.state(t.permit.ticket(), t.state, t.why);
    }

    private void release(final Ticket t) {
        if (t.held) {
            t.held = false;
            Optional.ofNullable(hands.get(t.worker)).ifPresent(Hand::end);
            final Flow f = flow(t.permit.tenant(), t.permit.kind());
            f.running--;
        }
    }

    private void shun(final String worker, final long now) {
        Optional.ofNullable(hands.get(worker)).ifPresent(h -> h.shun = now + setup.shun());
    }

    private boolean room(final Value.Row row) {
        if (queued < setup.queue() && slab.used() < slab.size()) {
            return true;
        }
        final Optional<Ticket> least = waiting.values().stream()
                .flatMap(f -> f.queue.stream())
                .min(Comparator.comparingInt((Ticket t) -> t.row.priority()).thenComparing(t -> -t.begun));
        if (least.isPresent() && least.get().row.priority() < row.priority()) {
            reject(least.get(), 503, "shed for a kind that goes before", SECOND);
            Optional.of(least.get()).ifPresent(t -> {
                ended.removeIf(e -> e.ticket() == t);
                drop(t);
            });
            return true;
        }
        return false;
    }

    private List<PlacementInput> sights(final long now) {
        final int peers = peers();
        return facts.workers().values().stream()
                .sorted(Comparator.comparing(h -> h.worker().id()))
                .map(h -> hands.computeIfAbsent(
                                h.worker().id(), k -> new Hand(h.worker().incarnation()))
                        .sight(h, now, peers))
                .toList();
    }

    private int peers() {
        return 1 + (int) facts.crew().stream().filter(Member::ready).count();
    }

    /** How many gateways share a cell of the tenant: those that may carry for it. */
    private int peers(final Value.Tenant who) {
        final Set<String> empty = facts.empty();
        return 1
                + (int) facts.crew().stream()
                        .filter(m -> m.ready()
                                && !empty.contains(m.zone())
                                && (who.homeRegions().isEmpty()
                                        || who.homeRegions().contains(m.region())))
                        .count();
    }

    private Case plea(final String ticket, final Value.Tenant who, final Value.Row row, final List<Long> prefix) {
        return new Case(ticket, who, row, prefix, facts.me().zone(), facts.me().region(), facts.empty());
    }

    private static List<Long> salted(final Value.Tenant who, final List<String> prefix) {
        return prefix.stream().map(d -> Seals.salted(who.keySalt(), d)).toList();
    }

    private void join(final Flow f, final Ticket t, final boolean first) {
        if (first) {
            f.queue.addFirst(t);
        } else {
            f.queue.add(t);
        }
        queued++;
        waiting.put(f.name, f);
    }

    private void quit(final Flow f, final Ticket t) {
        if (f.queue.remove(t)) {
            queued--;
            if (f.queue.isEmpty()) {
                waiting.remove(f.name);
            }
        }
    }

    private Flow flow(final String tenant, final String kind) {
        return flows.computeIfAbsent(tenant + "/" + kind, k -> new Flow(k, tenant, clock));
    }

    private Share share(final Flow f) {
        return shares.computeIfAbsent(f.tenant, k -> new Share(clock));
    }

    private void count(final String name) {
        tally.merge(name, 1L, Long::sum);
    }

    private record Ended(Ticket ticket, long at) {}
}
