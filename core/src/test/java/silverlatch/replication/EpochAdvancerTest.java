package silverlatch.replication;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static silverlatch.replication.ReplicaParts.SECOND;
import static silverlatch.replication.ReplicaParts.SELF;
import static silverlatch.replication.ReplicaParts.START;
import static silverlatch.replication.ReplicaParts.view;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import silverlatch.state.Command;
import silverlatch.wire.ChainClientMessage;

final class EpochAdvancerTest {
    private static final long INTERVAL = 600_000_000;
    private static final Optional<Long> OWNER = Optional.of(3L);
    private final ReplicaParts parts = new ReplicaParts().in(view(3, SECOND, SELF));
    private final EpochAdvancer advancer = new EpochAdvancer(
            parts.settings, parts.role, ReplicaParts.log(parts, syncedAt -> {}, sequence -> {}), parts.effects, START);

    @Test
    void theOwnerSendsTheHeadOneWriteAnInterval() {
        advancer.tick(OWNER, START + INTERVAL - 1);
        assertThat(parts.sent(), is(List.of()));
        advancer.tick(OWNER, START + INTERVAL);
        advancer.tick(OWNER, START + INTERVAL + 1);
        assertThat(
                parts.sent(),
                is(List.of(new ChainClientMessage.WriteRequest(
                        0, SELF.address(), new Command.AdvanceEpoch("sweep-1", 1, 3)))));
    }

    @Test
    void anIntervalBeginsAnewForWhoeverBecomesTheOwner() {
        advancer.tick(Optional.empty(), START + INTERVAL);
        advancer.tick(OWNER, START + 2 * INTERVAL - 1);
        assertThat(parts.sent(), is(List.of()));
        advancer.tick(OWNER, START + 2 * INTERVAL);
        assertThat(parts.receivers(), is(List.of(SECOND.address())));
    }
}
