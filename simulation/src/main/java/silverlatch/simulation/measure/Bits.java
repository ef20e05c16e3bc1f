package silverlatch.simulation.measure;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import silverlatch.clock.ClockReading;
import silverlatch.clock.NtpTime;
import silverlatch.clock.PwcClock;
import silverlatch.clock.Stamp;

/** How many low bits stamps need, by rate and skew: algorithm 1 on random graphs, as in section 5.1 of the source. */
final class Bits {
    private static final int WIDE = 12;
    private static final int NODES = 8;

    private Bits() {}

    private record Mail(long due, long number, int to, Stamp stamp) {}

    static void run(final long seed, final int seconds) {
        System.out.println(
                "| skew ms | rate a node | mode | events | bits max | over 4 bits | over 6 bits | over 7 bits |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- |");
        for (final boolean leader : new boolean[] {false, true}) {
            for (final double skew : new double[] {6.25, 25, 100, 400}) {
                for (final int rate : new int[] {1, 4, 16, 64}) {
                    one(seed, seconds, skew, rate, leader);
                }
            }
        }
    }

    private static void one(
            final long seed, final int seconds, final double skew, final int rate, final boolean leader) {
        final SplittableRandom luck = new SplittableRandom(seed);
        final long bound = NtpTime.fromMicros((long) (skew * 1000));
        final long[] off = new long[NODES];
        final PwcClock[] tides = new PwcClock[NODES];
        for (int i = 0; i < NODES; i++) {
            off[i] = leader ? i == 0 ? bound : 0 : luck.nextLong(bound + 1);
            tides[i] = PwcClock.start(NtpTime.fromMicros(1_000_000) + off[i], WIDE, bound * 4, 0);
        }
        final PriorityQueue<Mail> mail =
                new PriorityQueue<>(Comparator.comparingLong(Mail::due).thenComparingLong(Mail::number));
        final long[] count = new long[WIDE + 2];
        long number = 0;
        final double gap = 1000.0 / rate / NODES;
        double next = 0;
        final long end = seconds * 1_000_000L;
        for (double at = 0; at < end; ) {
            final boolean take = !mail.isEmpty() && mail.peek().due() <= next;
            at = take ? mail.peek().due() : next;
            final long real = NtpTime.fromMicros(1_000_000 + (long) at);
            final int node;
            final ClockReading step;
            if (take) {
                final Mail m = mail.poll();
                node = m.to();
                step = tides[node].receive(m.stamp(), real + off[node]);
            } else {
                node = luck.nextInt(NODES);
                step = tides[node].send(real + off[node]);
                next += gap * (0.5 + luck.nextDouble());
            }
            if (step instanceof ClockReading.Stamped made) {
                tides[node] = made.clock();
                final int need = 64 - Long.numberOfLeadingZeros(made.stamp().bits() & (1L << WIDE) - 1);
                count[need]++;
                if (!take) {
                    mail.add(new Mail(
                            (long) at + 1_000 + luck.nextLong(19_000), number++, luck.nextInt(NODES), made.stamp()));
                }
            } else {
                count[WIDE + 1]++;
            }
        }
        long sum = 0;
        int most = 0;
        for (int i = 0; i < count.length; i++) {
            sum += count[i];
            most = count[i] > 0 ? i : most;
        }
        System.out.printf(
                "| %s | %dK | %s | %d | %d | %s | %s | %s |%n",
                skew,
                rate,
                leader ? "leader" : "random",
                sum,
                most,
                over(count, 4, sum),
                over(count, 6, sum),
                over(count, 7, sum));
    }

    private static String over(final long[] count, final int bits, final long sum) {
        long more = 0;
        for (int i = bits + 1; i < count.length; i++) {
            more += count[i];
        }
        return more == 0 ? "0" : String.format("%.5f %%", 100.0 * more / sum);
    }
}
