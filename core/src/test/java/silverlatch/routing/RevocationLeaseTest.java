package silverlatch.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import silverlatch.dispatch.ClusterSnapshot;
import silverlatch.state.Policy;

/** Guards against accepting a revoked key after its deadline because the gateway's configuration is no longer the newest. */
final class RevocationLeaseTest {
    private static final long SECOND = 1_000_000L;
    private static final long CONFIRMED_AT = 100 * SECOND;
    private final RevocationLease lease = new RevocationLease(5 * SECOND);

    private static ClusterSnapshot snapshot(final Optional<Long> confirmedAt, final Optional<Long> lastConfirmedAt) {
        return new ClusterSnapshot(
                RouterFixture.gateway("me"), 7, confirmedAt, lastConfirmedAt, Policy.NONE, Map.of(), List.of());
    }

    @Test
    void keysAreAcceptedForNineTenthsOfTheDeadlineAfterAConfirmation() {
        final ClusterSnapshot confirmed = snapshot(Optional.of(CONFIRMED_AT), Optional.of(CONFIRMED_AT));
        assertThat(lease.isValid(confirmed, CONFIRMED_AT), is(true));
        assertThat(lease.isValid(confirmed, CONFIRMED_AT + 4_499_999L), is(true));
        assertThat(lease.isValid(confirmed, CONFIRMED_AT + 4_500_000L), is(false));
    }

    @Test
    void anAnnouncedRevisionDoesNotEndTheLeaseEarly() {
        final ClusterSnapshot behind = snapshot(Optional.empty(), Optional.of(CONFIRMED_AT));
        assertThat(lease.isValid(behind, CONFIRMED_AT + 4 * SECOND), is(true));
        assertThat(lease.isValid(behind, CONFIRMED_AT + 5 * SECOND), is(false));
    }

    @Test
    void noKeyIsAcceptedByAnUnconfirmedConfiguration() {
        assertThat(lease.isValid(snapshot(Optional.empty(), Optional.empty()), 0), is(false));
    }

    @Test
    void withoutADeadlineKeysAreAlwaysAccepted() {
        assertThat(new RevocationLease(0).isValid(snapshot(Optional.empty(), Optional.empty()), 0), is(true));
    }
}
