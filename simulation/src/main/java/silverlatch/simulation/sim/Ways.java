package silverlatch.simulation.sim;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import silverlatch.util.Lists;

/** What happens to the network and to clocks. */
final class Ways {
    private Ways() {}

    static void coreSplit(final World w, final long span) {
        final SimulatedNode n = w.some(w.controllers());
        w.tell("split off " + n.name() + " from the controllers");
        final Set<String> rest = w.controllers().stream()
                .map(SimulatedNode::name)
                .filter(x -> !x.equals(n.name()))
                .collect(Collectors.toSet());
        final Runnable one = w.net().cut(Set.of(n.name()), rest);
        final Runnable two = w.engine().luck().nextBoolean() ? w.net().cut(rest, Set.of(n.name())) : () -> {};
        w.later(span, () -> {
            one.run();
            two.run();
        });
    }

    static void coreCut(final World w, final long span) {
        w.tell("cut the controllers off");
        final Set<String> core =
                w.controllers().stream().map(SimulatedNode::name).collect(Collectors.toSet());
        final Set<String> rest = w.gateways().stream().map(SimulatedNode::name).collect(Collectors.toSet());
        final Runnable one = w.net().cut(core, rest);
        final Runnable two = w.net().cut(rest, core);
        w.later(span, () -> {
            one.run();
            two.run();
            w.back("");
        });
    }

    static void regionCut(final World w, final long span) {
        final String region = w.some(w.plan().regions()).region();
        w.tell("cut off " + region);
        final Runnable heal = w.net().island(places(w, region));
        w.later(span, () -> {
            heal.run();
            w.back(region);
        });
    }

    static void tailCut(final World w, final long span) {
        final String region = Lists.last(w.controllers()).region();
        w.tell("cut off " + region + ", where the tail is");
        final Runnable heal = w.net().island(places(w, region));
        w.later(9_000_000, () -> {
            heal.run();
            w.back(region);
        });
    }

    static void clockJumps(final World w, final long span) {
        final List<SimulatedNode> all = new ArrayList<>(w.gateways());
        all.addAll(w.controllers());
        final SimulatedNode n = w.some(all);
        final long off = (w.engine().luck().nextBoolean() ? 1 : -1)
                * (100_000 + w.engine().luck().nextLong(600_000_000L));
        w.drags();
        w.tell("clock of " + n.name() + " jumps by " + off / 1000 + " ms");
        n.clock(off);
        w.later(span, () -> n.clock(0));
    }

    static void clockOff(final World w, final long span) {
        final List<SimulatedNode> all = new ArrayList<>(w.gateways());
        all.addAll(w.controllers());
        final SimulatedNode n = w.some(all);
        final long off = (w.engine().luck().nextBoolean() ? 1 : -1)
                * (100_000 + w.engine().luck().nextLong(600_000_000L));
        w.drags();
        w.tell("restart " + n.name() + " with its clock off by " + off / 1000 + " ms");
        n.kill();
        n.clock(off);
        w.later(500_000, n::start);
    }

    static void netRough(final World w, final long span) {
        w.tell("rough network");
        w.net().rough(0.1, 0.1);
        w.later(span, () -> w.net().rough(0, 0));
    }

    static void newsCut(final World w, final long span) {
        final SimulatedNode n = w.some(w.gateways());
        final Mill m = w.some(w.mills());
        w.tell("cut the news of " + n.name() + ", and " + m.name() + " leaves");
        final Set<String> rest = w.gateways().stream().map(SimulatedNode::name).collect(Collectors.toSet());
        w.controllers().forEach(h -> rest.add(h.name()));
        rest.remove(n.name());
        final Set<String> tellers = new HashSet<>(rest);
        tellers.add(m.name());
        final Runnable one = w.net().cut(Set.of(n.name()), rest);
        final Runnable two = w.net().cut(tellers, Set.of(n.name()));
        w.later(300_000, m::leave);
        w.later(span + 6_000_000, () -> {
            one.run();
            two.run();
            m.kill();
            m.start();
        });
    }

    static void clocksOff(final World w, final long span) {
        final List<SimulatedNode> all = new ArrayList<>(w.controllers());
        all.addAll(Blows.half(w, w.gateways()));
        final boolean same = w.engine().luck().nextBoolean();
        final long off = 60_000 + w.engine().luck().nextLong(60_000_000L);
        w.tell("restart " + all.stream().map(SimulatedNode::name).toList() + " with clocks ahead by "
                + (same ? off / 1000 + " ms" : "as many spans"));
        all.remove(0);
        long at = 0;
        for (final SimulatedNode n : all) {
            final long mine = same ? off : off + w.engine().luck().nextLong(5_000_000L);
            w.later(at, () -> {
                n.kill();
                n.clock(mine);
                w.later(500_000, n::start);
            });
            at += 6_000_000;
        }
    }

    static void overflowStorm(final World w, final long span) {
        final SimulatedNode n = w.some(w.gateways());
        w.tell("storm at " + n.name());
        for (long t = 0; t < 1_500_000; t += 5_000) {
            w.engine().in(t, () -> w.flood(n, 400));
        }
        w.later(1_500_000, () -> {});
    }

    static void oneWayCut(final World w, final long span) {
        final String region = w.some(w.plan().regions()).region();
        final boolean mute = w.engine().luck().nextBoolean();
        w.tell(region + (mute ? " is not heard" : " does not hear"));
        final Set<String> here = places(w, region);
        final Set<String> rest = new HashSet<>();
        w.plan().regions().stream()
                .filter(r -> !r.region().equals(region))
                .forEach(r -> rest.addAll(places(w, r.region())));
        final Runnable heal = mute ? w.net().cut(here, rest) : w.net().cut(rest, here);
        w.later(span, () -> {
            heal.run();
            w.back(region);
        });
    }

    static void linksSlow(final World w, final long span) {
        w.tell("slow links between regions");
        w.net().slow(150_000);
        w.later(span, () -> w.net().slow(0));
    }

    static Set<String> places(final World w, final String region) {
        final Set<String> set = new HashSet<>(Set.of("consumers-" + region));
        w.gateways().stream().filter(n -> n.region().equals(region)).forEach(n -> set.add(n.name()));
        w.controllers().stream().filter(n -> n.region().equals(region)).forEach(n -> set.add(n.name()));
        w.mills().stream().filter(m -> m.region().equals(region)).forEach(m -> set.add(m.name()));
        return set;
    }
}
