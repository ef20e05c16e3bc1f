package silverlatch.simulation.sim;

import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import silverlatch.dispatch.DispatchEffect;
import silverlatch.dispatch.PlacementRequest;
import silverlatch.dispatch.StreamRecord;
import silverlatch.dispatch.SubmittedRequest;
import silverlatch.dispatch.permit.PermitSigner;
import silverlatch.simulation.worker.Speech;

/** One consumer's ticket in the simulator, from the pick to its end, verified as it comes. */
final class Traveller {
    private static final long SECOND = 1_000_000L;
    private static final long PATIENCE = 12_000_000L;
    private final World world;
    private final World.Person person;
    private final World.Sort sort;
    private final String key;
    private final String place;
    private final int tries;
    private final String prompt;
    private final List<String> prefix;
    private final boolean roams;
    private final MessageDigest sum = PermitSigner.newSha256();
    private String ticket = "";
    private String run = "";
    private Optional<SimulatedNode> carrier = Optional.empty();
    private long number;
    private long next;
    private boolean over;
    private boolean sealed;
    private final long turn;
    private long leg;
    private long begun;
    private long first;

    Traveller(
            final World world,
            final World.Person person,
            final World.Sort sort,
            final String key,
            final String place,
            final int tries,
            final String prompt,
            final List<String> prefix,
            final boolean roams) {
        this.world = world;
        this.person = person;
        this.sort = sort;
        this.key = key;
        this.place = place;
        this.tries = tries;
        this.prompt = prompt;
        this.prefix = prefix;
        this.roams = roams;
        this.turn = world.turn();
    }

    void go() {
        begun = world.engine().now();
        world.engine().in(PATIENCE, () -> end("cut"));
        pick(world.some(world.gateways()), 0);
    }

    String ticket() {
        return ticket;
    }

    private void pick(final SimulatedNode n, final int hops) {
        if (!n.alive()) {
            if (hops < 4) {
                pick(world.some(world.gateways()), hops + 1);
            } else {
                end("unreached");
            }
            return;
        }
        final PlacementRequest o =
                new PlacementRequest(person.secret(), person.name(), sort.kind(), prefix, prompt.length(), key, tries);
        world.net()
                .bytes(
                        place + ">" + n.name() + n.epoch() + "/" + turn,
                        place,
                        n.name(),
                        () -> n.call(
                                (c, t) -> c.requestPlacement(o, t, n.now()),
                                a -> {
                                    if (a instanceof DispatchEffect.Placed p) {
                                        world.watch()
                                                .rules()
                                                .shown(
                                                        n.name(),
                                                        p.revision(),
                                                        world.engine().now());
                                        world.watch()
                                                .rules()
                                                .lodged(
                                                        person.name(),
                                                        n.region(),
                                                        Mark.SENT,
                                                        "a pick was made in " + n.region(),
                                                        world.engine().now());
                                    }
                                    if (sort.kind().equals(Office.GATE)
                                            && (a instanceof DispatchEffect.Placed
                                                    || a instanceof DispatchEffect.Rejected x
                                                            && x.reason().startsWith("$.key"))) {
                                        world.watch()
                                                .rules()
                                                .passed(
                                                        n.name(),
                                                        a instanceof DispatchEffect.Placed,
                                                        "a pick",
                                                        world.engine().now());
                                    }
                                    back(n, a, () -> picked(n, a, hops));
                                },
                                t -> {}));
    }

    private void picked(final SimulatedNode n, final DispatchEffect a, final int hops) {
        if (over) {
            return;
        }
        switch (a) {
            case DispatchEffect.Placed p -> {
                ticket = p.requestId();
                world.known(this, ticket, person, key, tries);
                final long pause = world.engine().luck().nextInt(30) == 0
                        ? world.engine().luck().nextLong(3_000_000)
                        : 0;
                world.engine().in(pause, () -> hand(n, p.permit()));
                if (world.engine().luck().nextInt(50) == 0) {
                    world.engine().in(pause + world.engine().luck().nextLong(1_500_000), () -> twin(n, p.permit()));
                }
            }
            case DispatchEffect.Redirected p -> {
                final Optional<SimulatedNode> other = world.node(p.endpoints().get(0));
                if (hops > 4 || other.isEmpty()) {
                    end("rejected");
                } else {
                    pick(other.get(), hops + 1);
                }
            }
            case DispatchEffect.Rejected r -> refused(r);
            default -> end("unreached");
        }
    }

    private void hand(final SimulatedNode n, final String permit) {
        if (over) {
            return;
        }
        if (!n.alive()) {
            end("broken");
            return;
        }
        carrier = Optional.of(n);
        final SubmittedRequest l = new SubmittedRequest(person.secret(), permit, prefix, prompt, 10_000_000);
        world.net()
                .bytes(
                        lane(n),
                        place,
                        n.name(),
                        () -> n.call(
                                (c, t) -> c.submit(l, t, n.now()),
                                a -> back(n, a, () -> {
                                    if (leg == 0) {
                                        flow(n, a);
                                    }
                                }),
                                t -> number = t));
        if (roams) {
            world.engine().in(150_000, () -> move(n));
        }
    }

    private void twin(final SimulatedNode n, final String permit) {
        if (n.alive()) {
            world.watch().copied(ticket);
            n.call(
                    (c, t) -> c.submit(
                            new SubmittedRequest(person.secret(), permit, prefix, prompt, 10_000_000), t, n.now()),
                    a -> {},
                    t -> {});
        }
    }

    private void move(final SimulatedNode n) {
        if (over || !n.alive() || ticket.isEmpty()) {
            return;
        }
        world.watch().count("moves");
        leg++;
        final long mine = leg;
        n.hangUp(number);
        world.net()
                .bytes(
                        lane(n),
                        place,
                        n.name(),
                        () -> n.call(
                                (c, t) -> c.attach(ticket, person.secret(), next, t, n.now()),
                                a -> back(n, a, () -> {
                                    if (mine == leg) {
                                        if (a instanceof DispatchEffect.StreamWrite) {
                                            world.watch()
                                                    .rules()
                                                    .lodged(
                                                            person.name(),
                                                            n.region(),
                                                            Mark.KEPT,
                                                            "ticket " + ticket + " was read again in " + n.region(),
                                                            world.engine().now() - SECOND / 2);
                                        }
                                        flow(n, a);
                                    }
                                }),
                                t -> number = t));
    }

    private void back(final SimulatedNode n, final DispatchEffect a, final Runnable then) {
        if (a instanceof DispatchEffect.StreamWrite f) {
            f.records().forEach(l -> {
                if (l instanceof StreamRecord.Chunk p
                        && !world.source(p.attemptId()).isEmpty()) {
                    world.watch()
                            .rules()
                            .lodged(
                                    person.name(),
                                    world.source(p.attemptId()),
                                    Mark.SERVED,
                                    "a piece of " + ticket + " came from " + world.source(p.attemptId()),
                                    world.engine().now() - SECOND / 2);
                }
            });
        }
        world.net().bytes(lane(n) + "<", n.name(), place, then);
    }

    private String lane(final SimulatedNode n) {
        return place + ">" + n.name() + "/" + ticket + "/" + leg;
    }

    private void flow(final SimulatedNode n, final DispatchEffect a) {
        if (over) {
            return;
        }
        switch (a) {
            case DispatchEffect.StreamWrite f -> {
                f.records().forEach(this::line);
                if (f.endOfStream()) {
                    end(sealed ? "done" : "lost");
                } else {
                    n.carrying(c -> c.readerReady(f.callId()));
                }
            }
            case DispatchEffect.Rejected r -> refused(r);
            default -> end("broken");
        }
    }

    private void refused(final DispatchEffect.Rejected r) {
        if (r.statusCode() == 0) {
            end("broken");
            return;
        }
        if (r.statusCode() == 410 || r.statusCode() == 409 && r.reason().startsWith("the ticket was handed")) {
            end("broken");
            return;
        }
        if (r.statusCode() == 425) {
            world.watch().count("code425");
            carrier.ifPresent(n -> world.engine().in(r.retryAfter(), () -> move(n)));
            return;
        }
        if (r.statusCode() == 409) {
            world.watch().count("stands");
        }
        if (next > 0 && r.statusCode() != 404) {
            world.watch().fault(Mark.REJECTED, "ticket " + ticket + " was rejected after pieces came");
        }
        world.watch().count("code" + r.statusCode());
        end(r.statusCode() == 404 ? "broken" : "rejected");
        if (r.retryAfter() > 0
                && tries < 2
                && !key.isEmpty() | world.engine().luck().nextInt(3) == 0) {
            world.engine()
                    .in(
                            r.retryAfter(),
                            () -> world.travel(
                                    new Traveller(world, person, sort, key, place, tries + 1, prompt, prefix, false)));
        }
    }

    private void line(final StreamRecord l) {
        switch (l) {
            case StreamRecord.Chunk p -> {
                if (next == 0) {
                    run = p.attemptId();
                    first = world.engine().now();
                }
                if (sealed) {
                    wrong(Mark.CUT, "a piece after the seal");
                }
                if (p.index() != next) {
                    wrong(Mark.PIECE, "piece " + p.index() + " where " + next + " was due");
                }
                if (!p.requestId().equals(ticket)) {
                    wrong(Mark.FOREIGN, "a piece of ticket " + p.requestId());
                } else if (!p.attemptId().equals(run)) {
                    wrong(Mark.JOIN, "a piece of run " + p.attemptId() + " after " + run);
                }
                if (!p.text().equals(Speech.piece(prompt, p.index()))) {
                    wrong(Mark.FOREIGN, "someone else's text");
                }
                next = p.index() + 1;
                sum.update(p.text().getBytes(java.nio.charset.StandardCharsets.UTF_8));
            }
            case StreamRecord.Trailer s -> {
                sealed = true;
                if (next != Speech.count(prompt)
                        || s.chunkCount() != next
                        || !s.sha256().equals(HexFormat.of().formatHex(sum.digest()))) {
                    wrong(Mark.CUT, "a seal that does not fit what came");
                }
                if (!s.requestId().equals(ticket)) {
                    wrong(Mark.FOREIGN, "a seal of ticket " + s.requestId());
                }
            }
            case StreamRecord.Lost x -> sealed = false;
        }
    }

    /** An ended stream is read once more, as long as it may be kept. */
    private void reread(final SimulatedNode n) {
        if (n.alive()) {
            world.watch().count("rereads");
            n.call(
                    (c, t) -> c.attach(ticket, person.secret(), 0, t, n.now()),
                    a -> {
                        if (a instanceof DispatchEffect.StreamWrite) {
                            world.watch()
                                    .rules()
                                    .lodged(
                                            person.name(),
                                            n.region(),
                                            Mark.KEPT,
                                            "ticket " + ticket + " was read again in " + n.region(),
                                            world.engine().now());
                        }
                    },
                    t -> {});
        }
    }

    private void wrong(final Mark mark, final String what) {
        world.watch().fault(mark, "ticket " + ticket + ": " + what);
    }

    private void end(final String outcome) {
        if (over) {
            return;
        }
        over = true;
        if (outcome.equals("done") && world.roams()) {
            carrier.ifPresent(n ->
                    world.engine().in(SECOND + world.engine().luck().nextLong(10 * SECOND), () -> reread(n)));
        }
        world.watch().kind(sort.kind(), person.name(), outcome, first - begun);
        if (outcome.equals("cut")) {
            carrier.filter(SimulatedNode::alive).ifPresent(n -> n.hangUp(number));
        }
        if (!ticket.isEmpty()) {
            world.watch().ended(ticket, person.name(), outcome, world.engine().now());
        } else {
            world.watch().count("pick-" + outcome);
        }
        if ((outcome.equals("cut") || outcome.equals("broken") || outcome.equals("lost"))
                && !key.isEmpty()
                && tries < 2) {
            world.engine()
                    .in(
                            500_000,
                            () -> world.travel(
                                    new Traveller(world, person, sort, key, place, tries + 1, prompt, prefix, false)));
        }
    }
}
