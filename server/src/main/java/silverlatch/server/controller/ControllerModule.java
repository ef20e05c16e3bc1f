package silverlatch.server.controller;

import dagger.Module;
import dagger.Provides;
import jakarta.inject.Singleton;
import java.security.SecureRandom;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import silverlatch.clock.PhysicalClock;
import silverlatch.log.WriteAheadLog;
import silverlatch.node.Node;
import silverlatch.replication.Replica;
import silverlatch.replication.ReplicaSettings;
import silverlatch.server.eventloop.EventLoop;
import silverlatch.server.eventloop.EventLoopHandle;
import silverlatch.server.settings.Settings;

/** The Dagger module that provides the parts of a controller. */
@Module
final class ControllerModule {
    private ControllerModule() {}

    @Provides
    @Singleton
    static Optional<WriteAheadLog> writeAheadLog(final Optional<WriteAheadLog.OpenResult.Success> opened) {
        return opened.map(WriteAheadLog.OpenResult.Success::log);
    }

    @Provides
    @Singleton
    static Node node(final Settings settings, final Optional<WriteAheadLog.OpenResult.Success> opened) {
        final long now = EventLoop.nowMicros();
        final long wallNanos = EventLoopHandle.wallClockNanos();
        return new Node(
                settings.nodeSettings("controller", wallNanos),
                opened.map(log -> replicaSettings(settings, log)),
                opened.map(WriteAheadLog.OpenResult.Success::records).orElse(List.of()),
                new PhysicalClock(wallNanos, now, 0),
                new SplittableRandom(new SecureRandom().nextLong()),
                now);
    }

    private static ReplicaSettings replicaSettings(
            final Settings settings, final WriteAheadLog.OpenResult.Success opened) {
        final Replica self = new Replica(opened.identity(), settings.peerAddress());
        return ReplicaSettings.of(self, settings.seeds())
                .withCounts(settings.minInSyncReplicas(), settings.voterCount())
                .withBootstrap(settings.mayBootstrap() || opened.mayBootstrap());
    }
}
