package silverlatch.replication;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static silverlatch.replication.ReplicaFixture.NON_VOTER;
import static silverlatch.replication.ReplicaFixture.REPLICAS;
import static silverlatch.replication.ReplicaFixture.SECOND;
import static silverlatch.replication.ReplicaFixture.SELF;
import static silverlatch.replication.ReplicaFixture.START;
import static silverlatch.replication.ReplicaFixture.THIRD;
import static silverlatch.replication.ReplicaFixture.view;

import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import silverlatch.log.LogRecord;
import silverlatch.node.Event;
import silverlatch.wire.Message;
import silverlatch.wire.ReplicationMessage;

/** Guards against a second cluster or two initial views: the bootstrap of the seed with the lowest identity of three, which proposes the initial view. */
final class BootstrapTest {
    private static final long RETRY_MICROS = 300_000;
    private static final long EXPIRY_MICROS = 2_000_000;
    private static final List<Replica> SEEDS = REPLICAS.subList(0, 3);
    private final ReplicaFixture fixture = new ReplicaFixture();
    private final Bootstrap bootstrap = bootstrap(fixture.settings);

    private Bootstrap bootstrap(final ReplicaSettings settings) {
        final Discovery discovery = new Discovery(settings, fixture.role, fixture.effects);
        return new Bootstrap(settings, fixture.role, discovery, fixture.effects);
    }

    private void discoverFrom(final Bootstrap receiver, final Replica sender, final List<Replica> discovered) {
        receiver.handleDiscover(new ReplicationMessage.Discover(sender, true, discovered), START);
    }

    private View proposeInitialView() {
        SEEDS.forEach(seed -> discoverFrom(bootstrap, seed, SEEDS));
        return ((ReplicationMessage.Bootstrap) fixture.sent().get(0)).view();
    }

    @Test
    void theInitialViewIsProposedOnceAllSeedsHaveDiscoveredEachOther() {
        discoverFrom(bootstrap, SELF, SEEDS);
        discoverFrom(bootstrap, SECOND, SEEDS);
        discoverFrom(bootstrap, THIRD, List.of(SELF, THIRD));
        assertThat("one seed hasn't discovered all", fixture.sent(), is(List.of()));
        final View initialView = proposeInitialView();
        assertThat(initialView.number(), is(1L));
        assertThat(initialView.chain(), is(SEEDS));
        assertThat(initialView.voters(), is(SEEDS));
    }

    @Test
    void anInitialViewIsAgreedToOnceItIsSyncedAndNoOtherAfterIt() {
        final View initialView = proposeInitialView();
        bootstrap.handleBootstrap(new ReplicationMessage.Bootstrap(initialView), "proposer", START);
        assertThat(fixture.sent(), is(List.of()));
        assertThat(fixture.written(), is(List.of(new LogRecord.InitialViewAgreed(initialView))));
        fixture.syncAll(START);
        final Message agreement = new ReplicationMessage.BootstrapAgreed(initialView.fleet(), SELF);
        assertThat(fixture.sent(), is(List.of(agreement)));
        final View other = new View(1, 99, SEEDS, SEEDS, SELF.id());
        bootstrap.handleBootstrap(new ReplicationMessage.Bootstrap(other), "proposer", START);
        assertThat(fixture.sent(), is(List.of()));
        bootstrap.handleBootstrap(new ReplicationMessage.Bootstrap(initialView), "proposer", START);
        assertThat("the same view again", fixture.sent(), is(List.of(agreement)));
        assertThat(bootstrap.isAgreedView(initialView), is(true));
        assertThat(bootstrap.isAgreedView(other), is(false));
    }

    @Test
    void theClusterIsBootstrappedOnceAllSeedsHaveAgreed() {
        final View initialView = proposeInitialView();
        bootstrap.handleBootstrap(new ReplicationMessage.Bootstrap(initialView), "proposer", START);
        fixture.sent();
        bootstrap.handleAgreed(new ReplicationMessage.BootstrapAgreed(initialView.fleet(), SELF));
        bootstrap.handleAgreed(new ReplicationMessage.BootstrapAgreed(initialView.fleet(), SECOND));
        assertThat(
                "an agreement to another view",
                bootstrap.handleAgreed(new ReplicationMessage.BootstrapAgreed(99, THIRD)),
                is(Optional.empty()));
        assertThat(
                bootstrap.handleAgreed(new ReplicationMessage.BootstrapAgreed(initialView.fleet(), THIRD)),
                is(Optional.of(initialView)));
        assertThat(fixture.logged(), is(List.of(Event.FOUNDED)));
    }

    @Test
    void anInitialViewWithAnUndiscoveredReplicaIsNotAgreedTo() {
        discoverFrom(bootstrap, SELF, SEEDS);
        final View initialView = new View(1, 7, SEEDS, SEEDS, SELF.id());
        bootstrap.handleBootstrap(new ReplicationMessage.Bootstrap(initialView), "proposer", START);
        assertThat(fixture.written(), is(List.of()));
    }

    @Test
    void aReplicaThatMayNotBootstrapProposesNothing() {
        final Bootstrap withoutBootstrap = bootstrap(fixture.settings.withBootstrap(false));
        SEEDS.forEach(seed -> discoverFrom(withoutBootstrap, seed, SEEDS));
        assertThat(fixture.sent(), is(List.of()));
        withoutBootstrap.discover(START);
        assertThat(fixture.sent().get(0), is(new ReplicationMessage.Discover(SELF, false, List.of())));
    }

    @Test
    void discoverRequestsOfNonSeedsAreNotCounted() {
        discoverFrom(bootstrap, NON_VOTER, SEEDS);
        bootstrap.discover(START);
        assertThat(fixture.sent().get(0), is(new ReplicationMessage.Discover(SELF, true, List.of())));
    }

    @Test
    void seedsAreSentOneRequestPerRetryAndExpireWhenSilent() {
        discoverFrom(bootstrap, SECOND, List.of());
        bootstrap.discover(START);
        bootstrap.discover(START + RETRY_MICROS - 1);
        assertThat(
                fixture.sent(),
                is(Collections.nCopies(3, new ReplicationMessage.Discover(SELF, true, List.of(SECOND)))));
        bootstrap.discover(START + EXPIRY_MICROS + 1);
        assertThat(fixture.sent().get(0), is(new ReplicationMessage.Discover(SELF, true, List.of())));
    }

    @Test
    void aReplicaWithAViewAnswersDiscoverRequestsWithIt() {
        fixture.withView(view(4, SECOND));
        discoverFrom(bootstrap, NON_VOTER, List.of());
        assertThat(fixture.sent().get(0), instanceOf(ReplicationMessage.ViewDecided.class));
    }

    @Test
    void anAgreementSurvivesARestartAndTheProposerResumesIt() {
        final View initialView = new View(1, 7, SEEDS, SEEDS, SELF.id());
        bootstrap.replay(new LogRecord.InitialViewAgreed(initialView));
        bootstrap.discover(START);
        assertThat(
                fixture.sent().stream()
                        .filter(ReplicationMessage.Bootstrap.class::isInstance)
                        .count(),
                is(3L));
        bootstrap.installView();
        assertThat(bootstrap.isAgreedView(initialView), is(false));
    }
}
