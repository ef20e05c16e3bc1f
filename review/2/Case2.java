import java.nio.file.Path;
import java.util.List;

/**
 * DRAIN: a worker says that it is gone and gets its acknowledgement; directly afterwards all processes are killed and started again. The
 * gateways send requests to that worker again.
 */
final class Case2 {
    private static final Harness.Kind STAYING = Harness.Kind.digest("desk.example", "desk", 4);
    private static final Harness.Kind LEAVING = Harness.Kind.digest("quay.example", "quay", 4);
    private static final double DRAIN_S = 3.0;
    private static final double CONTACT_WINDOW_S = 4.0;
    private static final double DOWN_S = 0.7;
    private static final double SERVES_ON_S = 22;

    private Case2() {}

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
        harness.new Worker("w1", STAYING.service(), 0);
        harness.new Worker("w2", STAYING.service(), 1);
        final Harness.Worker leaving = harness.new Worker("w3", LEAVING.service(), 2);
        final Harness.Worker earlier = harness.new Worker("w4", STAYING.service(), 2);
        harness.startFleet(List.of(STAYING, LEAVING));
        final double start = harness.now();
        harness.traffic(STAYING, 15, start + 30);
        harness.traffic(LEAVING, 15, start + 30);
        harness.sleepUntil(start + 2);
        earlier.end();
        harness.sleepUntil(start + 5);
        final double goneAt = leaving.end();
        if (goneAt < 0) {
            throw new IllegalStateException("the worker's end was not acknowledged");
        }
        double backAt = harness.now();
        if (trouble) {
            harness.machines.forEach(Harness.Machine::kill);
            harness.note("bench: all processes are killed");
            for (final Harness.Machine machine : harness.machines) {
                machine.awaitEnd();
            }
            harness.sleep(DOWN_S);
            for (final Harness.Machine machine : harness.machines) {
                machine.start(false);
            }
            backAt = harness.now();
            harness.note("bench: all processes are started again");
        }
        harness.sleepUntil(goneAt + SERVES_ON_S);
        final double from = Math.max(goneAt + DRAIN_S, trouble ? backAt + 2 * CONTACT_WINDOW_S : 0) + 0.5;
        final double until = goneAt + SERVES_ON_S;
        final long late = leaving.arrivals.stream().filter(arrival -> arrival.at() > from && arrival.at() < until).count();
        final long served = harness.answers.stream()
                .filter(answer -> answer.route().equals(STAYING.host()) && answer.sentAt() > from && answer.outcome().equals("200"))
                .count();
        final String result = "the end of " + leaving.id + " was acknowledged at " + goneAt + "; from " + from + " to " + until + ", " + late
                + " requests reached it; " + served + " requests of the other service were served";
        harness.note(result);
        System.out.println(result);
        if (served < 50) {
            System.out.println("too few requests of the other service were served");
            return 2;
        }
        return late > 0 ? 1 : 0;
    }
}
