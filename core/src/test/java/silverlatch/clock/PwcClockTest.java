package silverlatch.clock;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Guards against stamps that violate causality, i.e. an effect whose stamp isn't higher than its cause's, and against
 * clocks that run ahead of real time by more than the allowed skew, be it by overflows, a peer's wrong clock or a jump
 * of the wall clock.
 */
final class PwcClockTest {
    private static final int LOW_BITS = 7;
    private static final long MASK = (1L << LOW_BITS) - 1;
    private static final long ONE_MICROSECOND = NtpTime.fromMicros(1);

    @Test
    void causesAreStampedBelowTheirEffectsOnRandomGraphsWithSkewUpToTheBound() {
        for (long seed = 1; seed <= 20; seed++) {
            final SimulatedClocks clocks = new SimulatedClocks(seed);
            for (long micros = 0; micros < 2_000_000; micros += 20) {
                clocks.step(micros);
            }
            assertThat(clocks.stampedCount, greaterThan(10_000));
        }
    }

    /** Simulates processes whose physical clocks are skewed and that send messages to each other at random times. */
    private static final class SimulatedClocks {
        private static final int COUNT = 8;
        private static final long SKEW = NtpTime.fromMicros(10_000);
        private static final long START_MICROS = 1_000_000;
        private static final long MIN_DELAY_MICROS = 200;
        private final String name;
        private final SplittableRandom random;
        private final long[] offsets = new long[COUNT];
        private final PwcClock[] clocks = new PwcClock[COUNT];
        private final PriorityQueue<MessageInFlight> inFlight =
                new PriorityQueue<>(Comparator.comparingLong(MessageInFlight::deliveryMicros));
        private int stampedCount;

        private record MessageInFlight(long deliveryMicros, int receiver, Stamp stamp) {}

        SimulatedClocks(final long seed) {
            name = "seed " + seed;
            random = new SplittableRandom(seed);
            for (int i = 0; i < COUNT; i++) {
                offsets[i] = random.nextLong(SKEW + 1);
                clocks[i] = PwcClock.start(NtpTime.fromMicros(START_MICROS) + offsets[i], LOW_BITS, SKEW, 0);
            }
        }

        void step(final long micros) {
            final long realTime = NtpTime.fromMicros(START_MICROS + micros);
            final int sender = random.nextInt(COUNT);
            if (random.nextInt(4) == 0) {
                send(sender, micros, realTime);
            }
            while (!inFlight.isEmpty() && inFlight.peek().deliveryMicros() <= micros) {
                receive(inFlight.poll(), micros, realTime);
            }
            assertWithinSkew(realTime);
        }

        private void send(final int sender, final long micros, final long realTime) {
            final long physicalTime = realTime + offsets[sender];
            if (clocks[sender].send(physicalTime) instanceof ClockReading.Stamped stamped) {
                advance(sender, clocks[sender].last(), stamped, physicalTime);
                inFlight.add(new MessageInFlight(
                        micros + MIN_DELAY_MICROS + random.nextLong(20_000), random.nextInt(COUNT), stamped.stamp()));
                stampedCount++;
            }
        }

        private void receive(final MessageInFlight message, final long micros, final long realTime) {
            final int receiver = message.receiver();
            final long physicalTime = realTime + offsets[receiver];
            final ClockReading reading = clocks[receiver].receive(message.stamp(), physicalTime);
            if (reading instanceof ClockReading.Stamped stamped) {
                assertThat(name, message.stamp().isBefore(stamped.stamp()), is(true));
                final long previous = Math.max(message.stamp().bits(), clocks[receiver].last());
                advance(receiver, previous, stamped, physicalTime);
            } else {
                assertThat(name, reading, instanceOf(ClockReading.Wait.class));
                inFlight.add(new MessageInFlight(micros + MIN_DELAY_MICROS, receiver, message.stamp()));
            }
        }

        private void advance(
                final int process, final long previous, final ClockReading.Stamped stamped, final long physicalTime) {
            final long bits = stamped.stamp().bits();
            assertThat(name, bits, greaterThan(clocks[process].last()));
            final boolean carried = bits == previous + 1 && (bits & MASK) == 0;
            assertThat(
                    name + ": no carry into the high bits", carried && previous >= (physicalTime & ~MASK), is(false));
            clocks[process] = stamped.clock();
        }

        private void assertWithinSkew(final long realTime) {
            for (int i = 0; i < COUNT; i++) {
                for (int k = 0; k < COUNT; k++) {
                    final long difference = Math.abs(highestTime(i, realTime) - highestTime(k, realTime));
                    assertThat(name, difference, lessThanOrEqualTo(SKEW + (2L << LOW_BITS)));
                }
            }
        }

        private long highestTime(final int process, final long realTime) {
            return Math.max(clocks[process].last(), clocks[process].masked(realTime + offsets[process]));
        }
    }

    @Test
    void sendThatWouldOverflowWaitsUntilTheMaskedClockHasPassed() {
        final long physicalTime = NtpTime.fromMicros(5_000_000) & ~MASK;
        PwcClock clock =
                new PwcClock(physicalTime + NtpTime.fromMicros(2_000) | MASK, LOW_BITS, NtpTime.fromMicros(10_000));
        final ClockReading reading = clock.send(physicalTime);
        assertThat(reading, instanceOf(ClockReading.Wait.class));
        final long wait = ((ClockReading.Wait) reading).micros();
        assertThat(clock.send(physicalTime + NtpTime.fromMicros(wait - 2)), instanceOf(ClockReading.Wait.class));
        assertThat(clock.send(physicalTime + NtpTime.fromMicros(wait + 1)), instanceOf(ClockReading.Stamped.class));
    }

    @Test
    void stampTooFarAheadIsRejectedAndNotMerged() {
        final long physicalTime = NtpTime.fromMicros(5_000_000);
        final ProcessClock clock =
                new ProcessClock(PwcClock.start(physicalTime, LOW_BITS, NtpTime.fromMicros(10_000), 0));
        final Stamp before = clock.last();
        assertThat(
                clock.receive(new Stamp(physicalTime + NtpTime.fromMicros(11_000)), physicalTime),
                instanceOf(ClockReading.TooFarAhead.class));
        assertThat(clock.last(), is(before));
        assertThat(
                clock.receive(new Stamp(physicalTime + NtpTime.fromMicros(9_000)), physicalTime),
                instanceOf(ClockReading.Stamped.class));
    }

    @Test
    void clockIsRaisedAboveTheFloorAndAResetDoesNotLowerIt() {
        final long physicalTime = NtpTime.fromMicros(5_000_000);
        final ProcessClock clock =
                new ProcessClock(PwcClock.start(physicalTime, LOW_BITS, NtpTime.fromMicros(10_000), 0));
        final Stamp floor = new Stamp(physicalTime + NtpTime.fromMicros(8_000));
        assertThat(clock.raiseAbove(floor, physicalTime).isPresent(), is(true));
        assertThat(floor.isBefore(clock.local(physicalTime)), is(true));
        clock.reset(physicalTime);
        assertThat(floor.isBefore(clock.local(physicalTime)), is(true));
    }

    @Test
    void jumpOfTheWallClockIsIgnoredAndDriftIsFollowedSlowly() {
        final PhysicalClock start = new PhysicalClock(1_700_000_000_000_000_000L, 1_000_000, 0);
        final PhysicalClock jumped = start.slew(1_700_000_100_000_000_000L, 2_000_000, 50_000);
        assertThat(jumped.jumps(), is(1L));
        assertThat(jumped.physicalTime(2_000_000), is(start.physicalTime(2_000_000)));
        final PhysicalClock back = start.slew(1_699_999_000_000_000_000L, 2_000_000, 50_000);
        assertThat(back.physicalTime(2_000_000), is(start.physicalTime(2_000_000)));
        final PhysicalClock slow = start.slew(1_700_000_001_020_000_000L, 2_000_000, 50_000);
        assertThat(slow.unixNanos() - start.unixNanos(), is(1_000_000_000L + 500_000L));
    }

    @Test
    void repeatedDropsRequireARejoin() {
        final long physicalTime = NtpTime.fromMicros(5_000_000);
        final ProcessClock clock =
                new ProcessClock(PwcClock.start(physicalTime, LOW_BITS, NtpTime.fromMicros(10_000), 0));
        final List<Boolean> rejoinNeeded = new ArrayList<>();
        for (int i = 0; i < 64; i++) {
            rejoinNeeded.add(clock.needsRejoin(physicalTime));
            clock.recordDrop(20_000_000 + i);
        }
        assertThat(rejoinNeeded.contains(true), is(false));
        assertThat(clock.needsRejoin(physicalTime), is(true));
        clock.reset(physicalTime);
        assertThat(clock.needsRejoin(physicalTime), is(false));
    }

    @Test
    void microsecondsAreConvertedToUnitsAndBackUnchanged() {
        for (final long micros : new long[] {1, 2, 999, 5_000, 1_000_000, 86_400_000_000L}) {
            assertThat(NtpTime.toMicros(NtpTime.fromMicros(micros)), is(micros));
        }
        assertThat(NtpTime.fromMicros(2) - ONE_MICROSECOND, greaterThan(0L));
    }
}
