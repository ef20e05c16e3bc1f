package silverlatch.simulation.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import silverlatch.simulation.fleet.Plan;

/** What happens to daemons and their disks, alone, in a region, or all at once. */
final class Blows {
    private Blows() {}

    static void gatewayKilled(final World w, final long span) {
        final SimulatedNode n = w.some(w.gateways());
        w.tell("kill " + n.name());
        n.kill();
        w.later(span, n::start);
    }

    static void gatewaysKilled(final World w, final long span) {
        final List<SimulatedNode> some = half(w, w.gateways());
        w.tell("kill " + some.stream().map(SimulatedNode::name).toList());
        some.forEach(SimulatedNode::kill);
        some.forEach(n -> w.later(span / 2 + w.engine().luck().nextLong(span), n::start));
    }

    static void gatewayFrozen(final World w, final long span) {
        final SimulatedNode n = w.some(w.gateways());
        w.tell("freeze " + n.name());
        n.freeze(true);
        w.later(span, () -> n.freeze(false));
    }

    static void gatewayStopped(final World w, final long span) {
        final SimulatedNode n = w.some(w.gateways());
        w.tell("stop " + n.name());
        n.stop();
        w.later(span + 5_000_000, n::start);
    }

    static void controllerKilled(final World w, final long span) {
        final SimulatedNode n = w.some(w.controllers());
        w.tell("kill " + n.name());
        n.kill();
        w.later(span, n::start);
    }

    static void controllerStopped(final World w, final long span) {
        final SimulatedNode n = w.some(w.controllers());
        w.tell("stop " + n.name());
        n.stop();
        w.later(span + 5_000_000, n::start);
    }

    static void allStopped(final World w, final long span) {
        w.tell("stop every daemon");
        final List<SimulatedNode> all = new ArrayList<>(w.controllers());
        all.addAll(w.gateways());
        long at = 0;
        for (final SimulatedNode n : all) {
            w.later(at, n::stop);
            w.later(at + 20_000_000, n::start);
            at += 1_000_000;
        }
        w.later(at + 20_000_000, () -> w.back(""));
    }

    static void controllerWiped(final World w, final long span) {
        final SimulatedNode n = w.some(w.controllers());
        w.tell("wipe " + n.name());
        n.kill();
        n.disk().ifPresent(Disk::wipe);
        w.later(span, n::start);
    }

    static void controllerFrozen(final World w, final long span) {
        final SimulatedNode n = w.some(w.controllers());
        w.tell("freeze " + n.name());
        n.freeze(true);
        w.later(span, () -> n.freeze(false));
    }

    static void diskStalled(final World w, final long span) {
        final SimulatedNode n = w.some(w.controllers());
        w.tell("stall " + n.name());
        n.disk().ifPresent(d -> d.stall(true));
        w.later(span, () -> n.disk().ifPresent(d -> d.stall(false)));
    }

    static void diskFull(final World w, final long span) {
        final SimulatedNode n = w.some(w.controllers());
        w.tell("full " + n.name());
        n.disk().ifPresent(d -> d.full(true));
        w.later(span, () -> n.disk().ifPresent(d -> d.full(false)));
    }

    static void diskLimps(final World w, final long span) {
        final SimulatedNode n = w.some(w.controllers());
        w.tell("limp " + n.name());
        n.disk().ifPresent(d -> d.limp(60));
        w.later(span, () -> n.disk().ifPresent(d -> d.limp(1)));
    }

    static void controllerSwapped(final World w, final long span) {
        final SimulatedNode n = w.some(w.controllers());
        w.tell("swap " + n.name() + " for " + w.swap(n).name());
    }

    static void controllersSwapped(final World w, final long span) {
        swap(w, new ArrayList<>(w.controllers()));
    }

    static void regionLost(final World w, final long span) {
        final Plan.Region r = w.some(w.plan().regions());
        w.tell("lose " + r.region());
        lose(w, r.region());
        w.later(span, () -> back(w, r.region()));
    }

    static void allKilled(final World w, final long span) {
        w.tell("kill every daemon");
        final List<SimulatedNode> all = new ArrayList<>(w.gateways());
        all.addAll(w.controllers());
        all.forEach(SimulatedNode::kill);
        all.forEach(n -> w.later(200_000 + w.engine().luck().nextLong(span), n::start));
        w.later(200_000 + span, () -> w.back(""));
    }

    static void refounding(final World w, final long span) {
        final List<SimulatedNode> two =
                w.controllers().subList(1, w.controllers().size());
        final SimulatedNode third = w.controllers().get(0);
        w.tell("wipe " + two.stream().map(SimulatedNode::name).toList() + " with " + third.name() + " cut off");
        final Runnable heal = w.net().island(Set.of(third.name()));
        two.forEach(n -> {
            n.kill();
            n.disk().ifPresent(Disk::wipe);
            n.start();
        });
        w.later(span, heal);
    }

    static void lose(final World w, final String region) {
        w.gateways().stream().filter(n -> n.region().equals(region)).forEach(SimulatedNode::kill);
        w.controllers().stream().filter(n -> n.region().equals(region)).forEach(SimulatedNode::kill);
        w.mills().stream().filter(m -> m.region().equals(region)).forEach(Mill::kill);
    }

    static void back(final World w, final String region) {
        w.back(region);
        w.tell("back " + region);
        w.gateways().stream().filter(n -> n.region().equals(region)).forEach(SimulatedNode::start);
        w.controllers().stream().filter(n -> n.region().equals(region)).forEach(SimulatedNode::start);
        w.mills().stream().filter(m -> m.region().equals(region)).forEach(Mill::start);
    }

    static void swap(final World w, final List<SimulatedNode> left) {
        w.losing(left.isEmpty() ? 0 : 60_000_000);
        if (left.isEmpty()) {
            return;
        }
        if (w.settled()) {
            final SimulatedNode n = left.remove(0);
            w.tell("swap " + n.name() + " for " + w.swap(n).name());
        }
        w.later(3_000_000, () -> swap(w, left));
    }

    static List<SimulatedNode> half(final World w, final List<SimulatedNode> all) {
        final List<SimulatedNode> some = new ArrayList<>();
        for (final SimulatedNode n : all) {
            if (w.engine().luck().nextBoolean()) {
                some.add(n);
            }
        }
        return some;
    }
}
