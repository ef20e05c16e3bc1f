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

final class PwcClockTest {
    private static final int LOW_BITS = 7;
    private static final long MASK = (1L << LOW_BITS) - 1;
    private static final long ONE_MICROSECOND = NtpTime.fromMicros(1);

    private record MessageInFlight(long deliveryTime, int receiver, Stamp stamp, int sender) {}

    @Test
    void everyEffectIsLessThanItsCauseOnRandomGraphsWithSkewUpToTheBound() {
        for (long seed = 1; seed <= 20; seed++) {
            final SplittableRandom random = new SplittableRandom(seed);
            final long skew = NtpTime.fromMicros(10_000);
            final int nodes = 8;
            final long[] offsets = new long[nodes];
            final PwcClock[] clocks = new PwcClock[nodes];
            for (int i = 0; i < nodes; i++) {
                offsets[i] = random.nextLong(skew + 1);
                clocks[i] = PwcClock.start(NtpTime.fromMicros(1_000_000) + offsets[i], LOW_BITS, skew, 0);
            }
            final PriorityQueue<MessageInFlight> inFlight =
                    new PriorityQueue<>(Comparator.comparingLong(MessageInFlight::deliveryTime));
            int stampedCount = 0;
            for (long time = 0; time < 2_000_000; time += 20) {
                final long realTime = NtpTime.fromMicros(1_000_000 + time);
                final int sender = random.nextInt(nodes);
                if (random.nextInt(4) == 0) {
                    final ClockReading reading = clocks[sender].send(realTime + offsets[sender]);
                    if (reading instanceof ClockReading.Stamped m) {
                        assertThat("seed " + seed, m.stamp().bits(), greaterThan(clocks[sender].last()));
                        assertNoCarry(clocks[sender].last(), m.stamp().bits(), realTime + offsets[sender], seed);
                        clocks[sender] = m.clock();
                        inFlight.add(new MessageInFlight(
                                time + 200 + random.nextLong(20_000), random.nextInt(nodes), m.stamp(), sender));
                        stampedCount++;
                    }
                }
                while (!inFlight.isEmpty() && inFlight.peek().deliveryTime() <= time) {
                    final MessageInFlight message = inFlight.poll();
                    final ClockReading reading =
                            clocks[message.receiver()].receive(message.stamp(), realTime + offsets[message.receiver()]);
                    if (reading instanceof ClockReading.Stamped m) {
                        assertThat("seed " + seed, message.stamp().isBefore(m.stamp()), is(true));
                        assertThat("seed " + seed, m.stamp().bits(), greaterThan(clocks[message.receiver()].last()));
                        assertNoCarry(
                                Math.max(message.stamp().bits(), clocks[message.receiver()].last()),
                                m.stamp().bits(),
                                realTime + offsets[message.receiver()],
                                seed);
                        clocks[message.receiver()] = m.clock();
                    } else {
                        assertThat("seed " + seed, reading, instanceOf(ClockReading.Wait.class));
                        inFlight.add(
                                new MessageInFlight(time + 200, message.receiver(), message.stamp(), message.sender()));
                    }
                }
                for (int a = 0; a < nodes; a++) {
                    final long mine = Math.max(clocks[a].last(), clocks[a].masked(realTime + offsets[a]));
                    for (int b = 0; b < nodes; b++) {
                        final long other = Math.max(clocks[b].last(), clocks[b].masked(realTime + offsets[b]));
                        assertThat("seed " + seed, Math.abs(mine - other), lessThanOrEqualTo(skew + (2L << LOW_BITS)));
                    }
                }
            }
            assertThat(stampedCount, greaterThan(10_000));
        }
    }

    private static void assertNoCarry(final long previous, final long bits, final long physicalTime, final long seed) {
        final boolean carried = bits == previous + 1 && (bits & MASK) == 0;
        assertThat(
                "seed " + seed + ": a carry into the high bits",
                carried && previous >= (physicalTime & ~MASK),
                is(false));
    }

    @Test
    void anOverflowWaitsUntilTheMaskedClockPasses() {
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
    void aStampFromTooFarAheadIsRejectedAndNotMerged() {
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
    void aRestartWithAClockBehindStartsAboveTheFloorAndAResetNeverLowers() {
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
    void aWallClockThatJumpsIsNotFollowedAndOneThatWandersIsFollowedSlowly() {
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
    void repeatedOverflowsMakeARejoinDue() {
        final long physicalTime = NtpTime.fromMicros(5_000_000);
        final ProcessClock clock =
                new ProcessClock(PwcClock.start(physicalTime, LOW_BITS, NtpTime.fromMicros(10_000), 0));
        final List<Boolean> due = new ArrayList<>();
        for (int i = 0; i < 64; i++) {
            due.add(clock.needsRejoin(physicalTime));
            clock.recordDrop(20_000_000 + i);
        }
        assertThat(due.contains(true), is(false));
        assertThat(clock.needsRejoin(physicalTime), is(true));
        clock.reset(physicalTime);
        assertThat(clock.needsRejoin(physicalTime), is(false));
    }

    @Test
    void microsecondsSurviveTheFixedPointFormat() {
        for (final long micros : new long[] {1, 2, 999, 5_000, 1_000_000, 86_400_000_000L}) {
            assertThat(NtpTime.toMicros(NtpTime.fromMicros(micros)), is(micros));
        }
        assertThat(NtpTime.fromMicros(2) - ONE_MICROSECOND, greaterThan(0L));
    }
}
