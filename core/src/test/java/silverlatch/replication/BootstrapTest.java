package silverlatch.replication;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static silverlatch.replication.ReplicaParts.REPLICAS;
import static silverlatch.replication.ReplicaParts.SECOND;
import static silverlatch.replication.ReplicaParts.SELF;
import static silverlatch.replication.ReplicaParts.START;
import static silverlatch.replication.ReplicaParts.STRANGER;
import static silverlatch.replication.ReplicaParts.THIRD;
import static silverlatch.replication.ReplicaParts.view;

import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import silverlatch.log.LogRecord;
import silverlatch.node.Event;
import silverlatch.wire.Message;
import silverlatch.wire.ReplicationMessage;

/** The seed with the lowest identity of three, which proposes the first view. */
final class BootstrapTest {
    private static final long RETRY = 300_000;
    private static final long EXPIRY = 2_000_000;
    private static final List<Replica> SEEDS = REPLICAS.subList(0, 3);
    private final ReplicaParts parts = new ReplicaParts();
    private final Bootstrap bootstrap = bootstrap(parts.settings);

    private Bootstrap bootstrap(final ReplicaSettings settings) {
        final Discovery discovery = new Discovery(settings, parts.role, parts.effects);
        return new Bootstrap(settings, parts.role, discovery, parts.effects);
    }

    private void discoverFrom(final Bootstrap receiver, final Replica sender, final List<Replica> heard) {
        receiver.handleDiscover(new ReplicationMessage.Discover(sender, true, heard), START);
    }

    private View proposed() {
        SEEDS.forEach(seed -> discoverFrom(bootstrap, seed, SEEDS));
        return ((ReplicationMessage.Bootstrap) parts.sent().get(0)).view();
    }

    @Test
    void theFirstViewIsProposedOnceAllSeedsHaveHeardEachOther() {
        discoverFrom(bootstrap, SELF, SEEDS);
        discoverFrom(bootstrap, SECOND, SEEDS);
        discoverFrom(bootstrap, THIRD, List.of(SELF, THIRD));
        assertThat("one has not heard all", parts.sent(), is(List.of()));
        final View founding = proposed();
        assertThat(founding.number(), is(1L));
        assertThat(founding.chain(), is(SEEDS));
        assertThat(founding.voters(), is(SEEDS));
    }

    @Test
    void aFoundingIsAgreedToOnceItIsSyncedAndThenToNoOther() {
        final View founding = proposed();
        bootstrap.handleBootstrap(new ReplicationMessage.Bootstrap(founding), "proposer", START);
        assertThat(parts.sent(), is(List.of()));
        assertThat(parts.written(), is(List.of(new LogRecord.InitialViewAgreed(founding))));
        parts.sync(START);
        final Message agreement = new ReplicationMessage.BootstrapAgreed(founding.fleet(), SELF);
        assertThat(parts.sent(), is(List.of(agreement)));
        final View other = new View(1, 99, SEEDS, SEEDS, SELF.id());
        bootstrap.handleBootstrap(new ReplicationMessage.Bootstrap(other), "proposer", START);
        assertThat(parts.sent(), is(List.of()));
        bootstrap.handleBootstrap(new ReplicationMessage.Bootstrap(founding), "proposer", START);
        assertThat("the same one again", parts.sent(), is(List.of(agreement)));
        assertThat(bootstrap.isAgreedView(founding), is(true));
        assertThat(bootstrap.isAgreedView(other), is(false));
    }

    @Test
    void theClusterIsFoundedWhenAllSeedsHaveAgreed() {
        final View founding = proposed();
        bootstrap.handleBootstrap(new ReplicationMessage.Bootstrap(founding), "proposer", START);
        parts.sent();
        bootstrap.handleAgreed(new ReplicationMessage.BootstrapAgreed(founding.fleet(), SELF));
        bootstrap.handleAgreed(new ReplicationMessage.BootstrapAgreed(founding.fleet(), SECOND));
        assertThat(
                "of another founding",
                bootstrap.handleAgreed(new ReplicationMessage.BootstrapAgreed(99, THIRD)),
                is(Optional.empty()));
        assertThat(
                bootstrap.handleAgreed(new ReplicationMessage.BootstrapAgreed(founding.fleet(), THIRD)),
                is(Optional.of(founding)));
        assertThat(parts.logged(), is(List.of(Event.FOUNDED)));
    }

    @Test
    void aFoundingWithAReplicaThatWasNotHeardIsNotAgreedTo() {
        discoverFrom(bootstrap, SELF, SEEDS);
        final View founding = new View(1, 7, SEEDS, SEEDS, SELF.id());
        bootstrap.handleBootstrap(new ReplicationMessage.Bootstrap(founding), "proposer", START);
        assertThat(parts.written(), is(List.of()));
    }

    @Test
    void aDiskThatMayHaveBeenLostFoundsNothing() {
        final Bootstrap cautious = bootstrap(parts.settings.withBootstrap(false));
        SEEDS.forEach(seed -> discoverFrom(cautious, seed, SEEDS));
        assertThat(parts.sent(), is(List.of()));
        cautious.discover(START);
        assertThat(parts.sent().get(0), is(new ReplicationMessage.Discover(SELF, false, List.of())));
    }

    @Test
    void aReplicaThatIsNoSeedDoesNotCount() {
        discoverFrom(bootstrap, STRANGER, SEEDS);
        bootstrap.discover(START);
        assertThat(parts.sent().get(0), is(new ReplicationMessage.Discover(SELF, true, List.of())));
    }

    @Test
    void seedsAreAskedOncePerRetryAndForgottenWhenTheyAreSilent() {
        discoverFrom(bootstrap, SECOND, List.of());
        bootstrap.discover(START);
        bootstrap.discover(START + RETRY - 1);
        assertThat(
                parts.sent(), is(Collections.nCopies(3, new ReplicationMessage.Discover(SELF, true, List.of(SECOND)))));
        bootstrap.discover(START + EXPIRY + 1);
        assertThat(parts.sent().get(0), is(new ReplicationMessage.Discover(SELF, true, List.of())));
    }

    @Test
    void aReplicaWithAViewSendsItToWhoeverLooksForPeers() {
        parts.in(view(4, SECOND));
        discoverFrom(bootstrap, STRANGER, List.of());
        assertThat(parts.sent().get(0), instanceOf(ReplicationMessage.ViewDecided.class));
    }

    @Test
    void anAgreementOutlastsARestartAndTheProposerGoesOnWithIt() {
        final View founding = new View(1, 7, SEEDS, SEEDS, SELF.id());
        bootstrap.replay(new LogRecord.InitialViewAgreed(founding));
        bootstrap.discover(START);
        assertThat(
                parts.sent().stream()
                        .filter(ReplicationMessage.Bootstrap.class::isInstance)
                        .count(),
                is(3L));
        bootstrap.installView();
        assertThat(bootstrap.isAgreedView(founding), is(false));
    }
}
