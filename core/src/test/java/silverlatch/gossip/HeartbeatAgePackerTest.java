package silverlatch.gossip;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/**
 * Guards against ages that are unpacked as younger than they were, or assigned to the wrong worker: either would keep
 * a silent worker active.
 */
final class HeartbeatAgePackerTest {
    private static final long STEP = 1_000;
    private static final long TIMEOUT = 12 * STEP;
    private static final long NOW = 1_000_000;

    private final HeartbeatAgePacker packer = new HeartbeatAgePacker(TIMEOUT);

    private static TrackedReport reportWithHeartbeatAge(final int number, final long age) {
        final Worker worker = new Worker("w" + number, "a", "z", "r", 1, 1, 0, 0, 1, List.of(), false, 0);
        return TrackedReport.ofAnnouncement(WorkerReport.of(worker), NOW).withLastHeartbeatAt(NOW - age);
    }

    @Test
    void ageIsUnpackedAsUpperBoundOfItsStep() {
        final long[] packed = packer.pack(
                List.of(
                        reportWithHeartbeatAge(0, 0),
                        reportWithHeartbeatAge(1, 999),
                        reportWithHeartbeatAge(2, STEP),
                        reportWithHeartbeatAge(3, 14_999)),
                NOW);
        assertThat(packer.lastHeartbeatAt(packed, 0, NOW), is(OptionalLong.of(NOW - STEP)));
        assertThat(packer.lastHeartbeatAt(packed, 1, NOW), is(OptionalLong.of(NOW - STEP)));
        assertThat(packer.lastHeartbeatAt(packed, 2, NOW), is(OptionalLong.of(NOW - 2 * STEP)));
        assertThat(packer.lastHeartbeatAt(packed, 3, NOW), is(OptionalLong.of(NOW - 15 * STEP)));
    }

    @Test
    void ageAboveLargestStepIsUnknownAndNegativeAgeCountsAsZero() {
        final long[] packed =
                packer.pack(List.of(reportWithHeartbeatAge(0, 15 * STEP), reportWithHeartbeatAge(1, -STEP)), NOW);
        assertThat(packer.lastHeartbeatAt(packed, 0, NOW), is(OptionalLong.empty()));
        assertThat(packer.lastHeartbeatAt(packed, 1, NOW), is(OptionalLong.of(NOW - STEP)));
    }

    @Test
    void oneLongHoldsAgesOfSixteenWorkers() {
        final List<TrackedReport> workers = new ArrayList<>();
        for (int i = 0; i < 35; i++) {
            workers.add(reportWithHeartbeatAge(i, i % 15 * STEP));
        }
        final long[] packed = packer.pack(workers, NOW);
        assertThat(packed.length, is(3));
        assertThat(packer.fits(packed, 33), is(true));
        assertThat(packer.fits(packed, 32), is(false));
        assertThat(packer.fits(new long[0], 0), is(true));
        for (int i = 0; i < workers.size(); i++) {
            assertThat(packer.lastHeartbeatAt(packed, i, NOW), is(OptionalLong.of(NOW - (i % 15 + 1) * STEP)));
        }
    }
}
