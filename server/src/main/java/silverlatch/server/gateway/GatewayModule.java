package silverlatch.server.gateway;

import dagger.Module;
import dagger.Provides;
import jakarta.inject.Singleton;
import java.security.SecureRandom;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import silverlatch.clock.PhysicalClock;
import silverlatch.dispatch.Dispatcher;
import silverlatch.dispatch.permit.PermitSigner;
import silverlatch.node.Node;
import silverlatch.routing.Router;
import silverlatch.routing.RoutingPolicies;
import silverlatch.server.eventloop.EventLoop;
import silverlatch.server.eventloop.EventLoopHandle;
import silverlatch.server.settings.Settings;

/** Provides the components of a gateway that Dagger can't construct by itself. Each gets its own random generator. */
@Module
final class GatewayModule {
    private GatewayModule() {}

    @Provides
    @Singleton
    static SplittableRandom random() {
        return new SplittableRandom(new SecureRandom().nextLong());
    }

    @Provides
    @Singleton
    static Node node(final Settings settings, final SplittableRandom random) {
        final long nowMicros = EventLoop.nowMicros();
        final long wallNanos = EventLoopHandle.wallClockNanos();
        return new Node(
                settings.nodeSettings("gateway", wallNanos),
                Optional.empty(),
                List.of(),
                new PhysicalClock(wallNanos, nowMicros, 0),
                random.split(),
                nowMicros);
    }

    @Provides
    @Singleton
    static Dispatcher dispatcher(final Settings settings, final Node node, final SplittableRandom random) {
        return new Dispatcher(
                settings.dispatch(),
                new PermitSigner(settings.clusterKey()),
                node.clusterSnapshot(),
                () -> node.localStamp(EventLoop.nowMicros()),
                random.split());
    }

    @Provides
    @Singleton
    static Router router(final Settings settings, final Node node, final SplittableRandom random) {
        return new Router(
                Router.Settings.DEFAULT
                        .withPrefixLifetime(settings.prefixLifetime())
                        .withRevocationDeadline(settings.revocationDeadline())
                        .withPolicies(RoutingPolicies.withDisabled(
                                System.getProperty(RoutingPolicies.DISABLED_PROPERTY, ""))),
                node.clusterSnapshot(),
                () -> node.localStamp(EventLoop.nowMicros()),
                random.split());
    }
}
