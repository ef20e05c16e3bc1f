import java.nio.file.Path;
import java.util.List;

/**
 * EVAC: an evacuation is taken back while one controller is frozen, and then ordered again. The frozen controller carries out the order
 * to take back, which was acknowledged elsewhere before, once it is thawed.
 */
final class Case1 {
    private static final Harness.Kind KIND = Harness.Kind.digest("desk.example", "desk", 4);
    private static final String EVACUATION = "/silverlatch/evacuations/" + Harness.ZONES[1];
    private static final double FREEZE_S = 4.0;
    private static final double EVACUATION_S = 5.0;
    private static final double CONTACT_WINDOW_S = 4.0;

    private Case1() {}

    public static void main(final String[] args) throws Exception {
        final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        try (Harness harness = new Harness(Path.of(args[0]), Path.of(args[1]))) {
            System.exit(run(harness, trouble));
        } catch (final Exception failure) {
            System.out.println("could not run: " + failure);
            System.exit(2);
        }
    }

    private static int run(final Harness harness, final boolean trouble) throws Exception {
        for (int zone = 0; zone < 3; zone++) {
            harness.new Worker("w" + (zone + 1) + "a", KIND.service(), zone);
            harness.new Worker("w" + (zone + 1) + "b", KIND.service(), zone);
        }
        harness.startFleet(List.of(KIND));
        final double start = harness.now();
        harness.traffic(KIND, 30, start + 24);
        final Harness.Machine frozen = harness.machines.get(2);
        final List<Harness.Machine> callees = List.of(frozen, harness.machines.get(0), harness.machines.get(1));
        final List<Harness.Machine> others = callees.subList(1, 3);
        harness.sleepUntil(start + 1);
        acknowledged(harness.order(callees, "POST", EVACUATION, "", "", 5));
        harness.sleepUntil(start + 7);
        double thawedAt = harness.now();
        if (trouble) {
            frozen.signal("STOP");
            harness.note("bench: " + frozen.name() + " is frozen");
        }
        final double frozenAt = harness.now();
        harness.sleepUntil(start + 7.3);
        acknowledged(harness.order(callees, "DELETE", EVACUATION, "", "", 5));
        harness.sleep(1);
        final double evacuatedAt = harness.order(others, "POST", EVACUATION, "", "", 5);
        acknowledged(evacuatedAt);
        harness.sleepUntil(frozenAt + FREEZE_S);
        if (trouble) {
            frozen.signal("CONT");
            thawedAt = harness.now();
            harness.note("bench: " + frozen.name() + " is thawed");
        }
        harness.sleepUntil(start + 24);
        harness.sleep(1);
        final double from = Math.max(evacuatedAt + EVACUATION_S, thawedAt + CONTACT_WINDOW_S) + 0.5;
        final long late = harness.workers.stream()
                .filter(worker -> worker.zone.equals(Harness.ZONES[1]))
                .flatMap(worker -> worker.arrivals.stream())
                .filter(arrival -> arrival.at() > from)
                .count();
        final long all = harness.workers.stream().flatMap(worker -> worker.arrivals.stream()).filter(arrival -> arrival.at() > from).count();
        final String result = "evacuation of " + Harness.ZONES[1] + " acknowledged at " + evacuatedAt + " and not taken back since; from " + from + " on, "
                + late + " of " + all + " requests reached workers there";
        harness.note(result);
        System.out.println(result);
        if (all < 50) {
            System.out.println("too few requests were served");
            return 2;
        }
        return late > 0 ? 1 : 0;
    }

    private static void acknowledged(final double time) {
        if (time < 0) {
            throw new IllegalStateException("an order was not acknowledged");
        }
    }
}
