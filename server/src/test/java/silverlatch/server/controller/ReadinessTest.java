package silverlatch.server.controller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import silverlatch.node.Node;

/**
 * Guards against a controller that is ready before its state is confirmed or while it is stopping, and against a shutdown that waits for
 * a replica which isn't part of a chain.
 */
final class ReadinessTest {
    private static final long NOW = 1_000_000L;

    @Test
    void aControllerIsUnreadyFromItsStartUntilItsStateIsConfirmed() {
        final Readiness readiness = new Readiness("one");
        assertThat(readiness.unreadyReason(), is(Optional.of("starting")));
        readiness.update(IsolatedNode.create(NOW), NOW);
        assertThat(readiness.unreadyReason(), is(Optional.of("the state held here is not confirmed")));
        assertThat(readiness.hasLeftChain(), is(false));
    }

    @Test
    void aReplicaOutsideTheChainHasLeftAsSoonAsItsNodeLeaves() {
        final Node node = IsolatedNode.createWithReplica(NOW);
        final Readiness readiness = new Readiness("one");
        readiness.markStopping();
        assertThat(readiness.hasLeftChain(), is(false));
        node.leave(NOW);
        readiness.update(node, NOW);
        assertThat("the replica is in no chain", readiness.hasLeftChain(), is(true));
    }

    @Test
    void aStoppingControllerStaysUnready() {
        final Node node = IsolatedNode.create(NOW);
        final Readiness readiness = new Readiness("one");
        readiness.markStopping();
        readiness.update(node, NOW);
        readiness.update(node, NOW + 1);
        assertThat(readiness.unreadyReason(), is(Optional.of("stopping")));
    }
}
