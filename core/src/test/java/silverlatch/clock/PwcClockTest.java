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
    private static final int LOW = 7;
    private static final long MASK = (1L << LOW) - 1;
    private static final long MICRO = Ntp.span(1);

    private record Mail(long due, int to, Stamp stamp, int root) {}

    @Test
    void everyEffectIsLessThanItsCauseOnRandomGraphsWithSkewUpToTheBound() {
        for (long seed = 1; seed <= 20; seed++) {
            final SplittableRandom luck = new SplittableRandom(seed);
            final long skew = Ntp.span(10_000);
            final int nodes = 8;
            final long[] off = new long[nodes];
            final PwcClock[] tides = new PwcClock[nodes];
            for (int i = 0; i < nodes; i++) {
                off[i] = luck.nextLong(skew + 1);
                tides[i] = PwcClock.start(Ntp.span(1_000_000) + off[i], LOW, skew, 0);
            }
            final PriorityQueue<Mail> mail = new PriorityQueue<>(Comparator.comparingLong(Mail::due));
            int made = 0;
            int waited = 0;
            for (long at = 0; at < 2_000_000; at += 20) {
                final long real = Ntp.span(1_000_000 + at);
                final int j = luck.nextInt(nodes);
                if (luck.nextInt(4) == 0) {
                    final ClockReading step = tides[j].send(real + off[j]);
                    if (step instanceof ClockReading.Made m) {
                        assertThat("seed " + seed, m.stamp().bits(), greaterThan(tides[j].last()));
                        unseen(tides[j].last(), m.stamp().bits(), real + off[j], seed);
                        tides[j] = m.clock();
                        mail.add(new Mail(at + 200 + luck.nextLong(20_000), luck.nextInt(nodes), m.stamp(), j));
                        made++;
                    } else {
                        waited++;
                    }
                }
                while (!mail.isEmpty() && mail.peek().due() <= at) {
                    final Mail x = mail.poll();
                    final ClockReading step = tides[x.to()].take(x.stamp(), real + off[x.to()]);
                    if (step instanceof ClockReading.Made m) {
                        assertThat("seed " + seed, x.stamp().before(m.stamp()), is(true));
                        assertThat("seed " + seed, m.stamp().bits(), greaterThan(tides[x.to()].last()));
                        unseen(
                                Math.max(x.stamp().bits(), tides[x.to()].last()),
                                m.stamp().bits(),
                                real + off[x.to()],
                                seed);
                        tides[x.to()] = m.clock();
                    } else {
                        assertThat("seed " + seed, step, instanceOf(ClockReading.Wait.class));
                        mail.add(new Mail(at + 200, x.to(), x.stamp(), x.root()));
                        waited++;
                    }
                }
                for (int a = 0; a < nodes; a++) {
                    final long mine = Math.max(tides[a].last(), tides[a].masked(real + off[a]));
                    for (int b = 0; b < nodes; b++) {
                        final long other = Math.max(tides[b].last(), tides[b].masked(real + off[b]));
                        assertThat("seed " + seed, Math.abs(mine - other), lessThanOrEqualTo(skew + (2L << LOW)));
                    }
                }
            }
            assertThat(made, greaterThan(10_000));
        }
    }

    private static void unseen(final long base, final long bits, final long phys, final long seed) {
        final boolean carried = bits == base + 1 && (bits & MASK) == 0;
        assertThat("seed " + seed + ": a carry into the high bits", carried && base >= (phys & ~MASK), is(false));
    }

    @Test
    void anOverflowWaitsUntilTheMaskedClockPasses() {
        final long phys = Ntp.span(5_000_000) & ~MASK;
        PwcClock tide = new PwcClock(phys + Ntp.span(2_000) | MASK, LOW, Ntp.span(10_000));
        final ClockReading step = tide.send(phys);
        assertThat(step, instanceOf(ClockReading.Wait.class));
        final long wait = ((ClockReading.Wait) step).micros();
        assertThat(tide.send(phys + Ntp.span(wait - 2)), instanceOf(ClockReading.Wait.class));
        assertThat(tide.send(phys + Ntp.span(wait + 1)), instanceOf(ClockReading.Made.class));
    }

    @Test
    void aStampFromTooFarAheadIsRejectedAndNotMerged() {
        final long phys = Ntp.span(5_000_000);
        final ProcessClock keeper = new ProcessClock(PwcClock.start(phys, LOW, Ntp.span(10_000), 0));
        final Stamp before = keeper.last();
        assertThat(keeper.take(new Stamp(phys + Ntp.span(11_000)), phys), instanceOf(ClockReading.Far.class));
        assertThat(keeper.last(), is(before));
        assertThat(keeper.take(new Stamp(phys + Ntp.span(9_000)), phys), instanceOf(ClockReading.Made.class));
    }

    @Test
    void aRestartWithAClockBehindStartsAboveTheFloorAndAResetNeverLowers() {
        final long phys = Ntp.span(5_000_000);
        final ProcessClock keeper = new ProcessClock(PwcClock.start(phys, LOW, Ntp.span(10_000), 0));
        final Stamp told = new Stamp(phys + Ntp.span(8_000));
        assertThat(keeper.floor(told, phys).isPresent(), is(true));
        assertThat(told.before(keeper.local(phys)), is(true));
        keeper.reset(phys);
        assertThat(told.before(keeper.local(phys)), is(true));
    }

    @Test
    void aWallClockThatJumpsIsNotFollowedAndOneThatWandersIsFollowedSlowly() {
        final PhysicalClock start = new PhysicalClock(1_700_000_000_000_000_000L, 1_000_000, 0);
        final PhysicalClock jumped = start.slew(1_700_000_100_000_000_000L, 2_000_000, 50_000);
        assertThat(jumped.jumps(), is(1L));
        assertThat(jumped.phys(2_000_000), is(start.phys(2_000_000)));
        final PhysicalClock back = start.slew(1_699_999_000_000_000_000L, 2_000_000, 50_000);
        assertThat(back.phys(2_000_000), is(start.phys(2_000_000)));
        final PhysicalClock slow = start.slew(1_700_000_001_020_000_000L, 2_000_000, 50_000);
        assertThat(slow.unix() - start.unix(), is(1_000_000_000L + 500_000L));
    }

    @Test
    void repeatedOverflowsMakeARejoinDue() {
        final long phys = Ntp.span(5_000_000);
        final ProcessClock keeper = new ProcessClock(PwcClock.start(phys, LOW, Ntp.span(10_000), 0));
        final List<Boolean> due = new ArrayList<>();
        for (int i = 0; i < 64; i++) {
            due.add(keeper.due(phys));
            keeper.drop(20_000_000 + i);
        }
        assertThat(due.contains(true), is(false));
        assertThat(keeper.due(phys), is(true));
        keeper.reset(phys);
        assertThat(keeper.due(phys), is(false));
    }

    @Test
    void microsecondsSurviveTheFixedPointFormat() {
        for (final long micros : new long[] {1, 2, 999, 5_000, 1_000_000, 86_400_000_000L}) {
            assertThat(Ntp.micros(Ntp.span(micros)), is(micros));
        }
        assertThat(Ntp.span(2) - MICRO, greaterThan(0L));
    }
}
