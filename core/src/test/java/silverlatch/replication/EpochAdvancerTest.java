package silverlatch.replication;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static silverlatch.replication.ReplicaFixture.SECOND;
import static silverlatch.replication.ReplicaFixture.SELF;
import static silverlatch.replication.ReplicaFixture.START;
import static silverlatch.replication.ReplicaFixture.view;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import silverlatch.state.Command;
import silverlatch.wire.ChainClientMessage;

/** Guards against epochs that are advanced too often: twice in an interval, or too soon after the singleton owner changed. */
final class EpochAdvancerTest {
    private static final long INTERVAL_MICROS = 600_000_000;
    private static final Optional<Long> TOKEN = Optional.of(3L);
    private final ReplicaFixture fixture = new ReplicaFixture().withView(view(3, SECOND, SELF));
    private final EpochAdvancer advancer = new EpochAdvancer(
            fixture.settings,
            fixture.role,
            ReplicaFixture.log(fixture, syncedAt -> {}, sequence -> {}),
            fixture.effects,
            START);

    @Test
    void theOwnerSendsTheHeadOneWritePerInterval() {
        advancer.tick(TOKEN, START + INTERVAL_MICROS - 1);
        assertThat(fixture.sent(), is(List.of()));
        advancer.tick(TOKEN, START + INTERVAL_MICROS);
        advancer.tick(TOKEN, START + INTERVAL_MICROS + 1);
        assertThat(
                fixture.sent(),
                is(List.of(new ChainClientMessage.WriteRequest(
                        0, SELF.address(), new Command.AdvanceEpoch("sweep-1", 1, 3)))));
    }

    @Test
    void aNewOwnerWaitsForAWholeInterval() {
        advancer.tick(Optional.empty(), START + INTERVAL_MICROS);
        advancer.tick(TOKEN, START + 2 * INTERVAL_MICROS - 1);
        assertThat(fixture.sent(), is(List.of()));
        advancer.tick(TOKEN, START + 2 * INTERVAL_MICROS);
        assertThat(fixture.receivers(), is(List.of(SECOND.address())));
    }
}
