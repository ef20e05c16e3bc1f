package silverlatch.drill.sim;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import silverlatch.drill.fleet.Plan;

/** Runs many days: PLAN-FOLDER FIRST-SEED COUNT [FAULT|each|drawn] [loud]. Ends with 1 when any day went wrong. */
public final class Main {
    private Main() {
    }

    /** Runs the sweep. */
    public static void main(final String[] args) throws Exception {
        final Plan plan = Plan.read(Path.of(args[0]));
        final long first = Long.parseLong(args[1]);
        final int count = Integer.parseInt(args[2]);
        final String what = args.length > 3 ? args[3] : "drawn";
        final boolean loud = args.length > 4 && args[4].equals("loud");
        final ExecutorService pool = Executors.newFixedThreadPool(loud ? 1 : Runtime.getRuntime().availableProcessors());
        final List<Future<Day.Came>> days = new ArrayList<>();
        final List<String> names = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            final long seed = first + i;
            if (what.equals("each")) {
                for (final Fault f : Fault.values()) {
                    names.add(f.name());
                    days.add(pool.submit(() -> Day.run(plan, seed, List.of(f), 60, Guards.ALL, loud)));
                }
            } else {
                final List<Fault> faults = what.equals("drawn") ? Day.draw(seed) : List.of(Fault.valueOf(what));
                names.add(faults.toString());
                days.add(pool.submit(() -> Day.run(plan, seed, faults, 60, Guards.ALL, loud)));
            }
        }
        int wrong = 0;
        final Map<String, Long> sum = new TreeMap<>();
        for (int i = 0; i < days.size(); i++) {
            final Day.Came came = days.get(i).get();
            came.tally().forEach((k, v) -> sum.merge(k, v, Long::sum));
            if (!came.wrong().isEmpty()) {
                wrong++;
                System.out.println("seed " + came.seed() + " " + names.get(i));
                came.story().forEach(s -> System.out.println("    " + s));
                came.wrong().stream().limit(6).forEach(s -> System.out.println("  WRONG " + s));
            }
        }
        pool.shutdown();
        System.out.println(sum);
        System.out.println(days.size() + " days, " + wrong + " wrong");
        System.exit(wrong == 0 ? 0 : 1);
    }
}
