package silverlatch.simulation.measure;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import silverlatch.clock.ClockReading;
import silverlatch.clock.NtpTime;
import silverlatch.clock.PwcClock;
import silverlatch.clock.Stamp;

/** How many low bits stamps need, by rate and skew: algorithm 1 on random graphs, as in section 5.1 of the source. */
final class LogicalBits {
    private static final int LOGICAL_BITS = 12;
    private static final int NODES = 8;

    private LogicalBits() {}

    private record InFlightMessage(long deliveryTime, long number, int to, Stamp stamp) {}

    static void run(final long seed, final int seconds) {
        System.out.println(
                "| skew ms | rate a node | mode | events | bits max | over 4 bits | over 6 bits | over 7 bits |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- |");
        for (final boolean leader : new boolean[] {false, true}) {
            for (final double skew : new double[] {6.25, 25, 100, 400}) {
                for (final int rate : new int[] {1, 4, 16, 64}) {
                    simulate(seed, seconds, skew, rate, leader);
                }
            }
        }
    }

    private static void simulate(
            final long seed, final int seconds, final double skew, final int rate, final boolean leader) {
        final SplittableRandom random = new SplittableRandom(seed);
        final long maxSkew = NtpTime.fromMicros((long) (skew * 1000));
        final long[] clockOffsets = new long[NODES];
        final PwcClock[] clocks = new PwcClock[NODES];
        for (int i = 0; i < NODES; i++) {
            clockOffsets[i] = leader ? i == 0 ? maxSkew : 0 : random.nextLong(maxSkew + 1);
            clocks[i] = PwcClock.start(NtpTime.fromMicros(1_000_000) + clockOffsets[i], LOGICAL_BITS, maxSkew * 4, 0);
        }
        final PriorityQueue<InFlightMessage> inFlight = new PriorityQueue<>(
                Comparator.comparingLong(InFlightMessage::deliveryTime).thenComparingLong(InFlightMessage::number));
        final long[] count = new long[LOGICAL_BITS + 2];
        long number = 0;
        final double interval = 1000.0 / rate / NODES;
        double next = 0;
        final long end = seconds * 1_000_000L;
        for (double now = 0; now < end; ) {
            final boolean receives = !inFlight.isEmpty() && inFlight.peek().deliveryTime() <= next;
            now = receives ? inFlight.peek().deliveryTime() : next;
            final long trueTime = NtpTime.fromMicros(1_000_000 + (long) now);
            final int node;
            final ClockReading reading;
            if (receives) {
                final InFlightMessage message = inFlight.poll();
                node = message.to();
                reading = clocks[node].receive(message.stamp(), trueTime + clockOffsets[node]);
            } else {
                node = random.nextInt(NODES);
                reading = clocks[node].send(trueTime + clockOffsets[node]);
                next += interval * (0.5 + random.nextDouble());
            }
            if (reading instanceof ClockReading.Stamped made) {
                clocks[node] = made.clock();
                final int bitsNeeded =
                        64 - Long.numberOfLeadingZeros(made.stamp().bits() & (1L << LOGICAL_BITS) - 1);
                count[bitsNeeded]++;
                if (!receives) {
                    inFlight.add(new InFlightMessage(
                            (long) now + 1_000 + random.nextLong(19_000),
                            number++,
                            random.nextInt(NODES),
                            made.stamp()));
                }
            } else {
                count[LOGICAL_BITS + 1]++;
            }
        }
        long sum = 0;
        int maxBits = 0;
        for (int i = 0; i < count.length; i++) {
            sum += count[i];
            maxBits = count[i] > 0 ? i : maxBits;
        }
        System.out.printf(
                "| %s | %dK | %s | %d | %d | %s | %s | %s |%n",
                skew,
                rate,
                leader ? "leader" : "random",
                sum,
                maxBits,
                shareAbove(count, 4, sum),
                shareAbove(count, 6, sum),
                shareAbove(count, 7, sum));
    }

    private static String shareAbove(final long[] count, final int bits, final long sum) {
        long more = 0;
        for (int i = bits + 1; i < count.length; i++) {
            more += count[i];
        }
        return more == 0 ? "0" : String.format("%.5f %%", 100.0 * more / sum);
    }
}
