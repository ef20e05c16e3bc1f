package silverlatch.replication;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import silverlatch.log.LogRecord;
import silverlatch.node.Effect;
import silverlatch.node.Event;
import silverlatch.safeguard.Safeguard;
import silverlatch.safeguard.Safeguards;
import silverlatch.wire.Message;
import silverlatch.wire.ReplicationMessage;

/**
 * Guards against votes that are sent before their sync, continuations that run twice or for another write, and disk stalls that
 * aren't detected.
 */
final class EffectQueueTest {
    private static final long LIMIT_MICROS = 1_000;
    private static final List<LogRecord> PROMISE = List.of(new LogRecord.Promised(2, 256));
    private final EffectQueue effects = new EffectQueue(Safeguards.ALL, 7);
    private final List<Long> syncedAt = new ArrayList<>();

    @Test
    void effectsAreDrainedOnceInOrder() {
        final Message message = new ReplicationMessage.Prepare(2, 256);
        effects.send("a", message);
        effects.log(Event.VIEW, "view 2");
        effects.persist(PROMISE, 0);
        assertThat(
                effects.drain(),
                is(List.of(
                        new Effect.Send("a", message),
                        new Effect.Log(Event.VIEW, "view 2"),
                        new Effect.Persist(8, PROMISE))));
        assertThat(effects.drain(), is(List.of()));
    }

    @Test
    void aContinuationRunsOnceWithTheTimeOfItsSync() {
        effects.persist(PROMISE, 10, syncedAt::add);
        effects.completeWrite(7, 15);
        assertThat("the token of an earlier queue", syncedAt, is(List.of()));
        effects.completeWrite(8, 20);
        effects.completeWrite(8, 30);
        assertThat(syncedAt, is(List.of(20L)));
    }

    @Test
    void noContinuationRunsAfterTheDiskFailedAndTokensContinue() {
        effects.persist(PROMISE, 10, syncedAt::add);
        effects.abandonWrites();
        effects.completeWrite(8, 20);
        assertThat(syncedAt, is(List.of()));
        assertThat(effects.isAllSynced(), is(true));
        assertThat(effects.lastToken(), is(8L));
    }

    @Test
    void theDiskIsStalledWhenTheOldestWriteWaitsForLongerThanTheLimit() {
        assertThat("no write is pending", effects.isStalled(LIMIT_MICROS, 9_000), is(false));
        effects.persist(PROMISE, 10);
        effects.persist(PROMISE, 500);
        assertThat(effects.isStalled(LIMIT_MICROS, 10 + LIMIT_MICROS), is(false));
        assertThat(effects.isStalled(LIMIT_MICROS, 11 + LIMIT_MICROS), is(true));
        effects.completeWrite(8, 11 + LIMIT_MICROS);
        assertThat("the next write is younger", effects.isStalled(LIMIT_MICROS, 11 + LIMIT_MICROS), is(false));
        assertThat(effects.isAllSynced(), is(false));
    }

    @Test
    void votesAreReportedBeforeTheirSyncOnlyWithoutTheSafeguard() {
        final EffectQueue unguarded = new EffectQueue(new Safeguards(Set.of(Safeguard.PROMISE)), 0);
        unguarded.persist(PROMISE, 10, syncedAt::add);
        assertThat(syncedAt, is(List.of(10L)));
        unguarded.completeWrite(1, 20);
        assertThat("only once", syncedAt, is(List.of(10L)));
        unguarded.persist(List.of(new LogRecord.ViewInstalled(View.NONE, false)), 30, syncedAt::add);
        assertThat("other records aren't votes", syncedAt, is(List.of(10L)));
    }
}
