package silverlatch.simulation.measure;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import silverlatch.clock.ClockReading;
import silverlatch.clock.NtpTime;
import silverlatch.clock.PwcClock;
import silverlatch.clock.Stamp;

/**
 * Measures how many logical (low) bits timestamps need, depending on message rate and clock skew. Runs algorithm 1 of the
 * paper that describes the PWC clock on random communication graphs, as in its section 5.1.
 */
final class LogicalBits {
    private static final int LOGICAL_BITS = 12;
    private static final int REJECTED = LOGICAL_BITS + 1;
    private static final int NODES = 8;
    private static final long START_MICROS = 1_000_000L;
    private static final long MIN_DELAY_MICROS = 1_000L;
    private static final long MAX_JITTER_MICROS = 19_000L;
    private final SplittableRandom random;
    private final long[] clockOffsets = new long[NODES];
    private final PwcClock[] clocks = new PwcClock[NODES];
    private final PriorityQueue<InFlightMessage> inFlight = new PriorityQueue<>(
            Comparator.comparingLong(InFlightMessage::deliveryTime).thenComparingLong(InFlightMessage::number));
    private final long[] eventsByBits = new long[LOGICAL_BITS + 2];
    private long messages;

    private record InFlightMessage(long deliveryTime, long number, int to, Stamp stamp) {}

    /**
     * Creates nodes whose clocks are skewed by up to {@code skewMillis} milliseconds: each by a random amount or, with
     * {@code leader}, only the clock of the first node, by the full amount.
     */
    private LogicalBits(final long seed, final double skewMillis, final boolean leader) {
        random = new SplittableRandom(seed);
        final long maxSkew = NtpTime.fromMicros((long) (skewMillis * 1000));
        for (int i = 0; i < NODES; i++) {
            clockOffsets[i] = leader ? i == 0 ? maxSkew : 0 : random.nextLong(maxSkew + 1);
            clocks[i] =
                    PwcClock.start(NtpTime.fromMicros(START_MICROS) + clockOffsets[i], LOGICAL_BITS, maxSkew * 4, 0);
        }
    }

    /** Prints a table by skew, rate and mode; each row is measured over a number of simulated seconds. */
    static void run(final long seed, final int seconds) {
        System.out.println(
                "| skew ms | rate a node | mode | events | bits max | over 4 bits | over 6 bits | over 7 bits |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- |");
        for (final boolean leader : new boolean[] {false, true}) {
            for (final double skew : new double[] {6.25, 25, 100, 400}) {
                for (final int rate : new int[] {1, 4, 16, 64}) {
                    final LogicalBits simulation = new LogicalBits(seed, skew, leader);
                    simulation.simulate(seconds, rate);
                    simulation.print(skew, rate, leader);
                }
            }
        }
    }

    /** Simulates nodes that send {@code rate} thousand messages per second each on average. */
    private void simulate(final int seconds, final int rate) {
        final double interval = 1000.0 / rate / NODES;
        final long end = seconds * 1_000_000L;
        double nextSend = 0;
        for (double now = 0; now < end; ) {
            if (!inFlight.isEmpty() && inFlight.peek().deliveryTime() <= nextSend) {
                now = inFlight.peek().deliveryTime();
                receive(trueTime(now));
            } else {
                now = nextSend;
                final int sender = random.nextInt(NODES);
                nextSend += interval * (0.5 + random.nextDouble());
                send(sender, now);
            }
        }
    }

    private static long trueTime(final double now) {
        return NtpTime.fromMicros(START_MICROS + (long) now);
    }

    private void receive(final long trueTime) {
        final InFlightMessage message = inFlight.poll();
        final int node = message.to();
        count(node, clocks[node].receive(message.stamp(), trueTime + clockOffsets[node]));
    }

    private void send(final int node, final double now) {
        final ClockReading reading = clocks[node].send(trueTime(now) + clockOffsets[node]);
        count(node, reading);
        if (reading instanceof ClockReading.Stamped stamped) {
            final long deliveryTime = (long) now + MIN_DELAY_MICROS + random.nextLong(MAX_JITTER_MICROS);
            inFlight.add(new InFlightMessage(deliveryTime, messages++, random.nextInt(NODES), stamped.stamp()));
        }
    }

    private void count(final int node, final ClockReading reading) {
        if (reading instanceof ClockReading.Stamped stamped) {
            clocks[node] = stamped.clock();
            final long logical = stamped.stamp().bits() & (1L << LOGICAL_BITS) - 1;
            eventsByBits[Long.SIZE - Long.numberOfLeadingZeros(logical)]++;
        } else {
            eventsByBits[REJECTED]++;
        }
    }

    private void print(final double skew, final int rate, final boolean leader) {
        long events = 0;
        int maxBits = 0;
        for (int bits = 0; bits < eventsByBits.length; bits++) {
            events += eventsByBits[bits];
            maxBits = eventsByBits[bits] > 0 ? bits : maxBits;
        }
        System.out.printf(
                "| %s | %dK | %s | %d | %d | %s | %s | %s |%n",
                skew,
                rate,
                leader ? "leader" : "random",
                events,
                maxBits,
                shareAbove(4, events),
                shareAbove(6, events),
                shareAbove(7, events));
    }

    private String shareAbove(final int bits, final long events) {
        long above = 0;
        for (int i = bits + 1; i < eventsByBits.length; i++) {
            above += eventsByBits[i];
        }
        return above == 0 ? "0" : String.format("%.5f %%", 100.0 * above / events);
    }
}
