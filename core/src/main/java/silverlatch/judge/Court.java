package silverlatch.judge;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import silverlatch.guard.Guard;
import silverlatch.guard.Guards;
import silverlatch.judge.bench.Cold;
import silverlatch.judge.bench.Cross;
import silverlatch.judge.bench.Home;
import silverlatch.judge.bench.Lease;
import silverlatch.judge.bench.Load;
import silverlatch.judge.bench.Prefix;
import silverlatch.judge.bench.Zone;

/** Hears all judges on all workers and picks. */
public final class Court {
    private static final double NEAR = 0.08;
    private final List<Judge> judges;

    /** A court of the given judges. */
    public Court(final List<Judge> judges) {
        this.judges = List.copyOf(judges);
    }

    /** The judges of the product; a word on a worker counts up to the given age. */
    public static Court full(final long oldest) {
        return full(oldest, Guards.ALL);
    }

    /** The same, without the judges whose guard is down. */
    public static Court full(final long oldest, final Guards guards) {
        final List<Judge> all = new ArrayList<>(List.of(new Prefix(), new Load(), new Cross()));
        all.addAll(sworn(oldest, guards));
        if (guards.stands(Guard.RAMP)) {
            all.add(new Cold(guards.stands(Guard.WARM)));
        }
        return new Court(all);
    }

    /** The judges that are heard once more at the instant of dispatch. */
    public static Court last(final long oldest, final Guards guards) {
        return new Court(sworn(oldest, guards));
    }

    private static List<Judge> sworn(final long oldest, final Guards guards) {
        final List<Judge> all = new ArrayList<>();
        if (guards.stands(Guard.SERVED)) {
            all.add(new Home());
        }
        if (guards.stands(Guard.ZONE)) {
            all.add(new Zone());
        }
        all.add(new Lease(guards.stands(Guard.WORD) ? oldest : Long.MAX_VALUE));
        return all;
    }

    /** One judge's finding on one worker, with the weight it had. */
    public record Opinion(String worker, String judge, Finding finding, double weight) {
    }

    /** What the court decides. */
    public sealed interface Ruling {
        /** All that was said. */
        List<Opinion> opinions();

        /** This worker. */
        record Picked(Sight worker, List<Opinion> opinions) implements Ruling {
        }

        /** None now, but one may have room in a moment. */
        record Full(List<Opinion> opinions) implements Ruling {
        }

        /** None is allowed. */
        record Barred(List<Opinion> opinions) implements Ruling {
        }
    }

    /** Picks a worker for a ticket. */
    public Ruling pick(final Case ticket, final List<Sight> workers, final RandomGenerator luck) {
        final List<Opinion> all = new ArrayList<>();
        final List<Rated> rated = new ArrayList<>();
        boolean later = false;
        for (final Sight w : workers) {
            double sum = 0;
            double most = 0;
            boolean veto = false;
            boolean wait = false;
            for (final Judge j : judges) {
                final double weight = j.weight(ticket);
                final Finding f = j.weigh(ticket, w);
                all.add(new Opinion(w.worker().id(), j.name(), f, weight));
                switch (f) {
                    case Finding.Score s -> sum += weight * s.value();
                    case Finding.Veto v -> veto = true;
                    case Finding.Later l -> wait = true;
                }
                most += weight;
            }
            if (!veto && !wait) {
                rated.add(new Rated(w, most == 0 ? 0 : sum / most));
            }
            later |= !veto && wait;
        }
        if (rated.isEmpty()) {
            return later ? new Ruling.Full(all) : new Ruling.Barred(all);
        }
        final double best = rated.stream().mapToDouble(Rated::total).max().orElse(0);
        final List<Rated> near = new ArrayList<>(rated.stream().filter(r -> r.total() >= best - NEAR)
                .sorted(Comparator.comparingLong((Rated r) -> draw(ticket.ticket(), r.worker().worker().id()))).toList());
        final Rated one = near.remove(luck.nextInt(near.size()));
        final Optional<Rated> two = near.isEmpty() ? Optional.empty() : Optional.of(near.get(luck.nextInt(near.size())));
        final Rated won = two.filter(t -> free(t) > free(one) || free(t) == free(one) && t.total() > one.total()).orElse(one);
        return new Ruling.Picked(won.worker(), all);
    }

    /** Whether any judge still stands against the worker, at the instant of dispatch. */
    public boolean stands(final Case ticket, final Sight worker) {
        return judges.stream().allMatch(j -> j.weigh(ticket, worker) instanceof Finding.Score);
    }

    private static double free(final Rated r) {
        return 1 - (double) r.worker().busy() / Math.max(1, r.worker().worker().slots());
    }

    private static long draw(final String ticket, final String worker) {
        long sum = 0xCBF29CE484222325L;
        final String text = ticket + "/" + worker;
        for (int i = 0; i < text.length(); i++) {
            sum = (sum ^ text.charAt(i)) * 0x100000001B3L;
        }
        return sum ^ sum >>> 31;
    }

    private record Rated(Sight worker, double total) {
    }
}
