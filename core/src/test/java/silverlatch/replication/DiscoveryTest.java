package silverlatch.replication;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static silverlatch.replication.ReplicaFixture.SECOND;
import static silverlatch.replication.ReplicaFixture.SELF;
import static silverlatch.replication.ReplicaFixture.START;
import static silverlatch.replication.ReplicaFixture.view;

import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;
import silverlatch.wire.ReplicationMessage;

/** Guards against too many requests for a later view, and against requests to outdated seeds. */
final class DiscoveryTest {
    private static final long RETRY_MICROS = 300_000;
    private final ReplicaFixture fixture = new ReplicaFixture().withView(view(5, SECOND));
    private final Discovery discovery = new Discovery(fixture.settings, fixture.role, fixture.effects);

    @Test
    void allRoundsShareOneTimer() {
        assertThat(discovery.beginRound(RETRY_MICROS, START), is(true));
        discovery.requestLaterView(START + RETRY_MICROS - 1);
        assertThat(fixture.sent(), is(List.of()));
        discovery.requestLaterView(START + RETRY_MICROS);
        assertThat(discovery.beginRound(RETRY_MICROS, START + RETRY_MICROS + 1), is(false));
        assertThat(
                "requests under the number of the previous view",
                fixture.sent(),
                is(Collections.nCopies(
                        3, new ReplicationMessage.LeaseRequest(4, START + RETRY_MICROS, SELF, false, false))));
    }

    @Test
    void heartbeatsGoToTheConfiguredSeedsUntilTheyAreReplaced() {
        discovery.sendHeartbeatToSeeds(true, START);
        assertThat(fixture.receivers(), is(List.of("address-0", "address-1", "address-2")));
        discovery.updateSeeds(List.of("elsewhere"));
        discovery.sendHeartbeatToSeeds(false, START);
        assertThat(fixture.sent(), is(List.of(new ReplicationMessage.LeaseRequest(5, START, SELF, false, false))));
        assertThat(discovery.seeds(), is(List.of("elsewhere")));
    }
}
