package silverlatch.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import silverlatch.placement.scorer.Cold;
import silverlatch.placement.scorer.Cross;
import silverlatch.placement.scorer.Home;
import silverlatch.placement.scorer.Lease;
import silverlatch.placement.scorer.Load;
import silverlatch.placement.scorer.Prefix;
import silverlatch.placement.scorer.Zone;
import silverlatch.safeguard.Safeguard;
import silverlatch.safeguard.Safeguards;

/** Hears all judges on all workers and picks. */
public final class WeightedScorers {
    private static final double NEAR = 0.08;
    private final List<Scorer> judges;

    /** A court of the given judges. */
    public WeightedScorers(final List<Scorer> judges) {
        this.judges = List.copyOf(judges);
    }

    /** The judges of the product; a word on a worker counts up to the given age. */
    public static WeightedScorers full(final long oldest) {
        return full(oldest, Safeguards.ALL);
    }

    /** The same, without the judges whose guard is down. */
    public static WeightedScorers full(final long oldest, final Safeguards guards) {
        final List<Scorer> all = new ArrayList<>(List.of(new Prefix(), new Load(), new Cross()));
        all.addAll(sworn(oldest, guards));
        if (guards.isEnabled(Safeguard.RAMP)) {
            all.add(new Cold(guards.isEnabled(Safeguard.WARM)));
        }
        return new WeightedScorers(all);
    }

    /** The judges that are heard once more at the instant of dispatch. */
    public static WeightedScorers last(final long oldest, final Safeguards guards) {
        return new WeightedScorers(sworn(oldest, guards));
    }

    private static List<Scorer> sworn(final long oldest, final Safeguards guards) {
        final List<Scorer> all = new ArrayList<>();
        if (guards.isEnabled(Safeguard.SERVED)) {
            all.add(new Home());
        }
        if (guards.isEnabled(Safeguard.ZONE)) {
            all.add(new Zone());
        }
        all.add(new Lease(guards.isEnabled(Safeguard.WORD) ? oldest : Long.MAX_VALUE));
        return all;
    }

    /** One judge's finding on one worker, with the weight it had. */
    public record Opinion(String worker, String judge, ScorerResult finding, double weight) {}

    /** What the court decides. */
    public sealed interface Ruling {
        /** All that was said. */
        List<Opinion> opinions();

        /** This worker. */
        record Picked(PlacementInput worker, List<Opinion> opinions) implements Ruling {}

        /** None now, but one may have room in a moment. */
        record Full(List<Opinion> opinions) implements Ruling {}

        /** None is allowed. */
        record Barred(List<Opinion> opinions) implements Ruling {}
    }

    /** Picks a worker for a ticket. */
    public Ruling pick(final Case ticket, final List<PlacementInput> workers, final RandomGenerator luck) {
        final List<Opinion> all = new ArrayList<>();
        final List<Rated> rated = new ArrayList<>();
        boolean later = false;
        for (final PlacementInput w : workers) {
            double sum = 0;
            double most = 0;
            boolean veto = false;
            boolean wait = false;
            for (final Scorer j : judges) {
                final double weight = j.weight(ticket);
                final ScorerResult f = j.weigh(ticket, w);
                all.add(new Opinion(w.worker().id(), j.name(), f, weight));
                switch (f) {
                    case ScorerResult.Score s -> sum += weight * s.value();
                    case ScorerResult.Veto v -> veto = true;
                    case ScorerResult.Later l -> wait = true;
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
        final List<Rated> near = new ArrayList<>(rated.stream()
                .filter(r -> r.total() >= best - NEAR)
                .sorted(Comparator.comparingLong(
                        (Rated r) -> draw(ticket.ticket(), r.worker().worker().id())))
                .toList());
        final Rated one = near.remove(luck.nextInt(near.size()));
        final Optional<Rated> two =
                near.isEmpty() ? Optional.empty() : Optional.of(near.get(luck.nextInt(near.size())));
        final Rated won = two.filter(t -> free(t) > free(one) || free(t) == free(one) && t.total() > one.total())
                .orElse(one);
        return new Ruling.Picked(won.worker(), all);
    }

    /** Whether any judge still stands against the worker, at the instant of dispatch. */
    public boolean stands(final Case ticket, final PlacementInput worker) {
        return judges.stream().allMatch(j -> j.weigh(ticket, worker) instanceof ScorerResult.Score);
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

    private record Rated(PlacementInput worker, double total) {}
}
