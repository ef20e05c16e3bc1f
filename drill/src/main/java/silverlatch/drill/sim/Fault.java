package silverlatch.drill.sim;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import silverlatch.drill.fleet.Plan;
import silverlatch.drill.worker.Faults;

/** Everything of the brief's "what fails", each as something that can be done to a world and is healed after a time. */
public enum Fault {
    /** A purser is killed and comes back. */
    PURSER_KILLED {
        @Override
        void hit(final World w, final long span) {
            final Node n = w.some(w.pursers());
            w.tell("kill " + n.name());
            n.kill();
            w.later(span, n::start);
        }
    },
    /** Half of the pursers are killed at once. */
    PURSERS_KILLED {
        @Override
        void hit(final World w, final long span) {
            final List<Node> some = half(w, w.pursers());
            w.tell("kill " + some.stream().map(Node::name).toList());
            some.forEach(Node::kill);
            some.forEach(n -> w.later(span / 2 + w.engine().luck().nextLong(span), n::start));
        }
    },
    /** A purser freezes and wakes. */
    PURSER_FROZEN {
        @Override
        void hit(final World w, final long span) {
            final Node n = w.some(w.pursers());
            w.tell("freeze " + n.name());
            n.freeze(true);
            w.later(span, () -> n.freeze(false));
        }
    },
    /** A purser is asked to stop, and comes back. */
    PURSER_STOPPED {
        @Override
        void hit(final World w, final long span) {
            final Node n = w.some(w.pursers());
            w.tell("stop " + n.name());
            n.stop();
            w.later(span + 5_000_000, n::start);
        }
    },
    /** A worker crashes and comes back cold. */
    WORKER_CRASHED {
        @Override
        void hit(final World w, final long span) {
            final Mill m = w.some(w.mills());
            w.tell("crash " + m.name());
            m.kill();
            w.later(span, m::start);
        }
    },
    /** A worker goes dark: it takes connections and says nothing; its announcements don't come through. */
    WORKER_DARK {
        @Override
        void hit(final World w, final long span) {
            final Mill m = w.some(w.mills());
            w.tell("dark " + m.name());
            m.fault(Faults.DARK);
            final Runnable heal = w.net().island(Set.of(m.name()));
            w.later(span, () -> {
                heal.run();
                m.fault(Faults.NONE);
            });
        }
    },
    /** A worker says that it leaves, and is gone a little later; a new one comes. */
    WORKER_LEAVES {
        @Override
        void hit(final World w, final long span) {
            final Mill m = w.some(w.mills());
            w.tell("leave " + m.name());
            m.leave();
            w.later(span + 4_000_000, m::kill);
            w.later(span + 6_000_000, m::start);
        }
    },
    /** All workers of a region are replaced one by one at short notice. */
    WORKERS_REPLACED {
        @Override
        void hit(final World w, final long span) {
            final String region = w.some(w.plan().regions()).region();
            w.tell("replace workers of " + region);
            long at = 0;
            for (final Mill m : w.mills()) {
                if (m.region().equals(region)) {
                    w.later(at, m::leave);
                    w.later(at + 1_500_000, m::kill);
                    w.later(at + 2_500_000, m::start);
                    at += 3_000_000;
                }
            }
        }
    },
    /** Workers break the rules of the stream, or limp, or deny, each in its own way. */
    WORKER_BREAKS {
        @Override
        void hit(final World w, final long span) {
            final List<Faults> bad = new ArrayList<>(List.of(Faults.GAP, Faults.REPEAT, Faults.FOREIGN, Faults.NOSEAL, Faults.WRONGSEAL, Faults.DENY,
                    Faults.SLOW, Faults.DROP));
            for (int round = 0; round < 2; round++) {
                w.later(round * span, () -> {
                    final List<Mill> all = new ArrayList<>(w.mills());
                    for (int i = 0; i < 4; i++) {
                        final Mill m = all.remove(w.engine().luck().nextInt(all.size()));
                        final Faults f = bad.remove(w.engine().luck().nextInt(bad.size()));
                        w.tell(f + " " + m.name());
                        m.fault(f);
                        w.later(span - 1, () -> m.fault(Faults.NONE));
                    }
                });
            }
        }
    },
    /** Consumers move between zones and come back to their streams. */
    CONSUMERS_MOVE {
        @Override
        void hit(final World w, final long span) {
            w.tell("consumers move");
            w.roaming(true);
            w.later(span * 2, () -> w.roaming(false));
        }
    },
    /** A crowd arrives, and the mix swings. */
    CROWD {
        @Override
        void hit(final World w, final long span) {
            final long rate = w.rate();
            final int lean = w.engine().luck().nextInt(3) - 1;
            w.tell("crowd, leaning " + lean);
            w.crowd(rate * 4, lean);
            w.later(Math.min(span, 6_000_000), () -> w.crowd(rate, 0));
        }
    },
    /** A harbor loses its power, perhaps just after it said yes. */
    HARBOR_KILLED {
        @Override
        void hit(final World w, final long span) {
            final Node n = w.some(w.harbors());
            w.tell("kill " + n.name());
            n.kill();
            w.later(span, n::start);
        }
    },
    /** A harbor is asked to stop, and comes back. */
    HARBOR_STOPPED {
        @Override
        void hit(final World w, final long span) {
            final Node n = w.some(w.harbors());
            w.tell("stop " + n.name());
            n.stop();
            w.later(span + 5_000_000, n::start);
        }
    },
    /** Everything is asked to stop, one after another, and comes back. */
    ALL_STOPPED {
        @Override
        void hit(final World w, final long span) {
            w.tell("stop every daemon");
            final List<Node> all = new ArrayList<>(w.harbors());
            all.addAll(w.pursers());
            long at = 0;
            for (final Node n : all) {
                w.later(at, n::stop);
                w.later(at + 20_000_000, n::start);
                at += 1_000_000;
            }
            w.later(at + 20_000_000, () -> w.back(""));
        }
    },
    /** A harbor loses its power and its disk, and starts with an empty one. */
    HARBOR_WIPED {
        @Override
        void hit(final World w, final long span) {
            final Node n = w.some(w.harbors());
            w.tell("wipe " + n.name());
            n.kill();
            n.disk().ifPresent(Disk::wipe);
            w.later(span, n::start);
        }
    },
    /** A harbor freezes and wakes. */
    HARBOR_FROZEN {
        @Override
        void hit(final World w, final long span) {
            final Node n = w.some(w.harbors());
            w.tell("freeze " + n.name());
            n.freeze(true);
            w.later(span, () -> n.freeze(false));
        }
    },
    /** A harbor's disk stalls. */
    DISK_STALLED {
        @Override
        void hit(final World w, final long span) {
            final Node n = w.some(w.harbors());
            w.tell("stall " + n.name());
            n.disk().ifPresent(d -> d.stall(true));
            w.later(span, () -> n.disk().ifPresent(d -> d.stall(false)));
        }
    },
    /** A harbor's disk is full; the machine is restarted when there is space again. */
    DISK_FULL {
        @Override
        void hit(final World w, final long span) {
            final Node n = w.some(w.harbors());
            w.tell("full " + n.name());
            n.disk().ifPresent(d -> d.full(true));
            w.later(span, () -> {
                n.kill();
                n.disk().ifPresent(d -> d.full(false));
                n.start();
            });
        }
    },
    /** A harbor's disk limps. */
    DISK_LIMPS {
        @Override
        void hit(final World w, final long span) {
            final Node n = w.some(w.harbors());
            w.tell("limp " + n.name());
            n.disk().ifPresent(d -> d.limp(60));
            w.later(span, () -> n.disk().ifPresent(d -> d.limp(1)));
        }
    },
    /** A harbor is replaced by an empty machine at a new address. */
    HARBOR_SWAPPED {
        @Override
        void hit(final World w, final long span) {
            final Node n = w.some(w.harbors());
            w.tell("swap " + n.name() + " for " + w.swap(n).name());
        }
    },
    /** All harbors are swapped for others, one after another, each when the chain is whole again. */
    HARBORS_SWAPPED {
        @Override
        void hit(final World w, final long span) {
            swap(w, new ArrayList<>(w.harbors()));
        }
    },
    /** One harbor is cut off from the others. */
    CORE_SPLIT {
        @Override
        void hit(final World w, final long span) {
            final Node n = w.some(w.harbors());
            w.tell("split off " + n.name() + " from the harbors");
            final Set<String> rest = w.harbors().stream().map(Node::name).filter(x -> !x.equals(n.name())).collect(Collectors.toSet());
            final Runnable one = w.net().cut(Set.of(n.name()), rest);
            final Runnable two = w.engine().luck().nextBoolean() ? w.net().cut(rest, Set.of(n.name())) : () -> {
            };
            w.later(span, () -> {
                one.run();
                two.run();
            });
        }
    },
    /** All harbors are cut off from the pursers. */
    CORE_CUT {
        @Override
        void hit(final World w, final long span) {
            w.tell("cut the harbors off");
            final Set<String> core = w.harbors().stream().map(Node::name).collect(Collectors.toSet());
            final Set<String> rest = w.pursers().stream().map(Node::name).collect(Collectors.toSet());
            final Runnable one = w.net().cut(core, rest);
            final Runnable two = w.net().cut(rest, core);
            w.later(span, () -> {
                one.run();
                two.run();
                w.back("");
            });
        }
    },
    /** A region is cut off. */
    REGION_CUT {
        @Override
        void hit(final World w, final long span) {
            final String region = w.some(w.plan().regions()).region();
            w.tell("cut off " + region);
            final Runnable heal = w.net().island(places(w, region));
            w.later(span, () -> {
                heal.run();
                w.back(region);
            });
        }
    },
    /** The region of the chain's last harbor is cut off for long, while operators on both sides read and write. */
    TAIL_CUT {
        @Override
        void hit(final World w, final long span) {
            final String region = w.harbors().getLast().region();
            w.tell("cut off " + region + ", where the tail is");
            final Runnable heal = w.net().island(places(w, region));
            w.later(9_000_000, () -> {
                heal.run();
                w.back(region);
            });
        }
    },
    /** A region is lost and comes back cold. */
    REGION_LOST {
        @Override
        void hit(final World w, final long span) {
            final Plan.Region r = w.some(w.plan().regions());
            w.tell("lose " + r.region());
            lose(w, r.region());
            w.later(span, () -> back(w, r.region()));
        }
    },
    /** All workers of a region are lost and come back cold, while its pursers stay. */
    REGION_COLD {
        @Override
        void hit(final World w, final long span) {
            final String region = w.some(w.plan().regions()).region();
            w.tell("lose the workers of " + region);
            final List<Mill> some = w.mills().stream().filter(m -> m.region().equals(region)).toList();
            some.forEach(Mill::kill);
            w.later(span, () -> {
                some.forEach(Mill::start);
                w.back(region);
            });
        }
    },
    /** Everything is killed at once and started again. */
    ALL_KILLED {
        @Override
        void hit(final World w, final long span) {
            w.tell("kill every daemon");
            final List<Node> all = new ArrayList<>(w.pursers());
            all.addAll(w.harbors());
            all.forEach(Node::kill);
            all.forEach(n -> w.later(200_000 + w.engine().luck().nextLong(span), n::start));
            w.later(200_000 + span, () -> w.back(""));
        }
    },
    /** The wall clock of a machine jumps while it runs. */
    CLOCK_JUMPS {
        @Override
        void hit(final World w, final long span) {
            final List<Node> all = new ArrayList<>(w.pursers());
            all.addAll(w.harbors());
            final Node n = w.some(all);
            final long off = (w.engine().luck().nextBoolean() ? 1 : -1) * (100_000 + w.engine().luck().nextLong(600_000_000L));
            w.drags();
            w.tell("clock of " + n.name() + " jumps by " + off / 1000 + " ms");
            n.clock(off);
            w.later(span, () -> n.clock(0));
        }
    },
    /** A machine starts with its clock far off. */
    CLOCK_OFF {
        @Override
        void hit(final World w, final long span) {
            final List<Node> all = new ArrayList<>(w.pursers());
            all.addAll(w.harbors());
            final Node n = w.some(all);
            final long off = (w.engine().luck().nextBoolean() ? 1 : -1) * (100_000 + w.engine().luck().nextLong(600_000_000L));
            w.drags();
            w.tell("restart " + n.name() + " with its clock off by " + off / 1000 + " ms");
            n.kill();
            n.clock(off);
            w.later(500_000, n::start);
        }
    },
    /** Frames are lost and overtake each other. */
    NET_ROUGH {
        @Override
        void hit(final World w, final long span) {
            w.tell("rough network");
            w.net().rough(0.1, 0.1);
            w.later(span, () -> w.net().rough(0, 0));
        }
    },
    /** A zone is emptied and given back. */
    ZONE_DRAINED {
        @Override
        void hit(final World w, final long span) {
            final String zone = w.some(w.plan().regions()).zone();
            w.office().drain(zone, true);
            w.later(span + 6_000_000, () -> w.office().drain(zone, false));
        }
    },
    /** One purser is cut off from all other daemons while workers and consumers still reach it; a worker leaves meanwhile. */
    NEWS_CUT {
        @Override
        void hit(final World w, final long span) {
            final Node n = w.some(w.pursers());
            final Mill m = w.some(w.mills());
            w.tell("cut the news of " + n.name() + ", and " + m.name() + " leaves");
            final Set<String> rest = w.pursers().stream().map(Node::name).collect(Collectors.toSet());
            w.harbors().forEach(h -> rest.add(h.name()));
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
    },
    /** Most workers deny for a while, and each ticket would be tried again. */
    WORKERS_DENY {
        @Override
        void hit(final World w, final long span) {
            w.tell("most workers deny");
            w.mills().stream().skip(w.mills().size() / 3).forEach(m -> m.fault(Faults.DENY));
            w.later(span + 20_000_000, () -> w.mills().forEach(m -> m.fault(Faults.NONE)));
        }
    },
    /** Most machines start with their clocks off, some by the same, some each by its own. */
    CLOCKS_OFF {
        @Override
        void hit(final World w, final long span) {
            final List<Node> all = new ArrayList<>(w.harbors());
            all.addAll(half(w, w.pursers()));
            final boolean same = w.engine().luck().nextBoolean();
            final long off = 60_000 + w.engine().luck().nextLong(60_000_000L);
            w.tell("restart " + all.stream().map(Node::name).toList() + " with clocks ahead by " + (same ? off / 1000 + " ms" : "as many spans"));
            all.removeFirst();
            long at = 0;
            for (final Node n : all) {
                final long mine = same ? off : off + w.engine().luck().nextLong(5_000_000L);
                w.later(at, () -> {
                    n.kill();
                    n.clock(mine);
                    w.later(500_000, n::start);
                });
                at += 6_000_000;
            }
        }
    },
    /** A daemon is flooded with copies of frames of one whose clock runs ahead within the skew. */
    OVERFLOW_STORM {
        @Override
        void hit(final World w, final long span) {
            final Node n = w.some(w.pursers());
            w.tell("storm at " + n.name());
            for (long t = 0; t < 1_500_000; t += 5_000) {
                w.engine().in(t, () -> w.flood(n, 400));
            }
            w.later(1_500_000, () -> {
            });
        }
    },
    /** A region hears the others and is not heard, or the other way round. */
    ONE_WAY_CUT {
        @Override
        void hit(final World w, final long span) {
            final String region = w.some(w.plan().regions()).region();
            final boolean mute = w.engine().luck().nextBoolean();
            w.tell(region + (mute ? " is not heard" : " does not hear"));
            final Set<String> here = places(w, region);
            final Set<String> rest = new HashSet<>();
            w.plan().regions().stream().filter(r -> !r.region().equals(region)).forEach(r -> rest.addAll(places(w, r.region())));
            final Runnable heal = mute ? w.net().cut(here, rest) : w.net().cut(rest, here);
            w.later(span, () -> {
                heal.run();
                w.back(region);
            });
        }
    },
    /** The links between regions take several times the skew that clocks are allowed. */
    LINKS_SLOW {
        @Override
        void hit(final World w, final long span) {
            w.tell("slow links between regions");
            w.net().slow(150_000);
            w.later(span, () -> w.net().slow(0));
        }
    },
    /** A worker limps while a crowd is here. */
    WORKER_LIMPS {
        @Override
        void hit(final World w, final long span) {
            final Mill m = w.some(w.mills());
            final long rate = w.rate();
            w.tell("crowd, and " + m.name() + " limps");
            m.fault(Faults.SLOW);
            w.crowd(rate * 4, 0);
            w.later(Math.min(span, 5_000_000), () -> {
                w.crowd(rate, 0);
                m.fault(Faults.NONE);
            });
        }
    },
    /** At full load the mix swings from long prompts to long replies and back. */
    MIX_SWINGS {
        @Override
        void hit(final World w, final long span) {
            final long rate = w.rate();
            w.tell("the mix swings");
            for (int i = 0; i < 6; i++) {
                final int lean = i % 2 == 0 ? 1 : -1;
                w.later(i * 1_000_000L, () -> w.crowd(rate * 4, lean));
            }
            w.later(6_000_000, () -> w.crowd(rate, 0));
        }
    },
    /** Two operators race on a zone, again and again. */
    OPERATORS_RACE {
        @Override
        void hit(final World w, final long span) {
            final String zone = w.some(w.plan().regions()).zone();
            for (int i = 0; i < 4; i++) {
                w.later(i * 700_000L, () -> w.office().race(zone));
            }
            w.later(span + 10_000_000, () -> w.office().drain(zone, false));
        }
    },
    /** Tenants' homes change, and a tenant is taken away, while tickets queue, run and are kept; then it is as before. */
    TENANTS_MOVE {
        @Override
        void hit(final World w, final long span) {
            final List<World.Person> all = new ArrayList<>(w.people());
            final World.Person one = all.remove(w.engine().luck().nextInt(all.size()));
            final World.Person two = w.some(all);
            final String region = w.some(w.plan().regions()).region();
            w.roaming(true);
            w.office().move(one, List.of(region));
            w.later(500_000, () -> w.office().drop(two));
            w.later(span + 6_000_000, () -> {
                w.office().move(one, one.homes());
                w.office().move(two, two.homes());
                w.roaming(false);
            });
        }
    },
    /** The table grows by thousands of rows. */
    TABLE_GROWS {
        @Override
        void hit(final World w, final long span) {
            w.office().grow(3_000);
        }
    },
    /** A purser freezes between a pick and the hand-over of its ticket. */
    FROZEN_AT_PICK {
        @Override
        void hit(final World w, final long span) {
            freeze(w, Step.PICKED, span);
        }
    },
    /** A purser freezes as it claims a key. */
    FROZEN_AT_CLAIM {
        @Override
        void hit(final World w, final long span) {
            freeze(w, Step.CLAIMS, span);
        }
    },
    /** A purser freezes between its last look and the first byte to the worker; the zone is drained and the worker leaves meanwhile. */
    FROZEN_AT_ASK {
        @Override
        void hit(final World w, final long span) {
            freeze(w, Step.ASKS, span);
            w.later(200_000, () -> w.some(w.mills()).leave());
            final String zone = w.some(w.plan().regions()).zone();
            w.later(300_000, () -> w.office().drain(zone, true));
            w.later(span + 8_000_000, () -> {
                w.office().drain(zone, false);
                w.mills().forEach(m -> {
                    m.kill();
                    m.start();
                });
            });
        }
    },
    /** A purser freezes in the middle of a stream. */
    FROZEN_AT_PIECE {
        @Override
        void hit(final World w, final long span) {
            freeze(w, Step.PIECE, span);
        }
    },
    /** The head freezes between its sync and passing on. */
    FROZEN_AT_HEAD {
        @Override
        void hit(final World w, final long span) {
            freeze(w, Step.HEAD, span);
        }
    },
    /** The tail freezes between its sync and the acknowledgement. */
    FROZEN_AT_TAIL {
        @Override
        void hit(final World w, final long span) {
            freeze(w, Step.TAIL, span);
        }
    },
    /** Pursers are killed at each step of a ticket. */
    KILLED_AT_STEPS {
        @Override
        void hit(final World w, final long span) {
            w.tell("kill at pick, claim, ask and piece");
            for (final Step step : List.of(Step.PICKED, Step.CLAIMS, Step.ASKS, Step.PIECE)) {
                w.aim(step, n -> {
                    w.tell("kill " + n.name() + " at " + step);
                    n.kill();
                    w.later(w.engine().luck().nextLong(1_500_000), n::start);
                });
            }
        }
    },
    /** The head and then the tail lose their power just after a sync. */
    KILLED_AT_SYNC {
        @Override
        void hit(final World w, final long span) {
            final Step step = w.engine().luck().nextBoolean() ? Step.HEAD : Step.TAIL;
            w.aim(step, n -> {
                w.tell("kill " + n.name() + " at " + step);
                n.kill();
                w.later(span, n::start);
            });
        }
    },
    /** Two of the three harbors lose their disks while the third is cut off, and try to found anew. */
    REFOUNDING {
        @Override
        void hit(final World w, final long span) {
            final List<Node> two = w.harbors().subList(1, w.harbors().size());
            final Node third = w.harbors().getFirst();
            w.tell("wipe " + two.stream().map(Node::name).toList() + " with " + third.name() + " cut off");
            final Runnable heal = w.net().island(Set.of(third.name()));
            two.forEach(n -> {
                n.kill();
                n.disk().ifPresent(Disk::wipe);
                n.start();
            });
            w.later(span, heal);
        }
    };

    abstract void hit(World w, long span);

    /** Whether it takes a disk away for good; the core bears one such loss at a time. */
    boolean loss() {
        return this == HARBOR_WIPED || this == HARBOR_SWAPPED || this == HARBORS_SWAPPED || this == REFOUNDING;
    }

    static void lose(final World w, final String region) {
        w.pursers().stream().filter(n -> n.region().equals(region)).forEach(Node::kill);
        w.harbors().stream().filter(n -> n.region().equals(region)).forEach(Node::kill);
        w.mills().stream().filter(m -> m.region().equals(region)).forEach(Mill::kill);
    }

    static void back(final World w, final String region) {
        w.back(region);
        w.tell("back " + region);
        w.pursers().stream().filter(n -> n.region().equals(region)).forEach(Node::start);
        w.harbors().stream().filter(n -> n.region().equals(region)).forEach(Node::start);
        w.mills().stream().filter(m -> m.region().equals(region)).forEach(Mill::start);
    }

    private static void swap(final World w, final List<Node> left) {
        w.losing(left.isEmpty() ? 0 : 60_000_000);
        if (left.isEmpty()) {
            return;
        }
        if (w.settled()) {
            final Node n = left.removeFirst();
            w.tell("swap " + n.name() + " for " + w.swap(n).name());
        }
        w.later(3_000_000, () -> swap(w, left));
    }

    private static void freeze(final World w, final Step step, final long span) {
        w.tell("freeze at " + step);
        final long nap = w.engine().luck().nextBoolean() ? span : 30_000 + w.engine().luck().nextLong(500_000);
        w.aim(step, n -> {
            w.tell("freeze " + n.name() + " at " + step + " for " + nap / 1000 + " ms");
            n.freeze(true);
            w.later(nap, () -> n.freeze(false));
        });
    }

    private static List<Node> half(final World w, final List<Node> all) {
        final List<Node> some = new ArrayList<>();
        for (final Node n : all) {
            if (w.engine().luck().nextBoolean()) {
                some.add(n);
            }
        }
        return some;
    }

    private static Set<String> places(final World w, final String region) {
        final Set<String> set = new HashSet<>(Set.of("consumers-" + region));
        w.pursers().stream().filter(n -> n.region().equals(region)).forEach(n -> set.add(n.name()));
        w.harbors().stream().filter(n -> n.region().equals(region)).forEach(n -> set.add(n.name()));
        w.mills().stream().filter(m -> m.region().equals(region)).forEach(m -> set.add(m.name()));
        return set;
    }
}
