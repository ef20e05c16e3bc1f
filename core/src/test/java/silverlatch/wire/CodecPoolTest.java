package silverlatch.wire;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.Test;
import silverlatch.clock.Stamp;
import silverlatch.replication.Replica;

/** Checks that codecs are reused, also after malformed input, and never used by two threads at once. */
final class CodecPoolTest {
    private static final int THREADS = 8;
    private static final int FRAMES = 200;
    private final CodecPool pool = new CodecPool();

    @Test
    void oneThreadReusesOneCodecForAllFrames() {
        for (int i = 0; i < FRAMES; i++) {
            roundTrip(i);
        }
        assertThat(pool.createdCount(), is(1));
    }

    @Test
    void codecIsReusableAfterMalformedInput() {
        final byte[] bytes = pool.encode(frame(1));
        bytes[0] = 127;
        assertThat(pool.decode(bytes, Frame.class), instanceOf(Codec.DecodeResult.Malformed.class));
        roundTrip(2);
        assertThat(pool.createdCount(), is(1));
    }

    @Test
    void concurrentThreadsNeverShareACodec() throws Exception {
        final ExecutorService threads = Executors.newFixedThreadPool(THREADS);
        final List<Callable<Boolean>> tasks = new ArrayList<>();
        for (int t = 0; t < THREADS; t++) {
            final int first = t * FRAMES;
            tasks.add(() -> {
                for (int i = 0; i < FRAMES; i++) {
                    roundTrip(first + i);
                }
                return true;
            });
        }
        for (final Future<Boolean> done : threads.invokeAll(tasks)) {
            assertThat(done.get(), is(true));
        }
        threads.shutdown();
        final int before = pool.createdCount();
        assertThat(before, lessThanOrEqualTo(THREADS * FRAMES));
        roundTrip(1);
        assertThat("an idle codec is reused before a new one is created", pool.createdCount(), is(before));
    }

    private void roundTrip(final int number) {
        final Frame sent = frame(number);
        final Codec.DecodeResult<Frame> read = pool.decode(pool.encode(sent), Frame.class);
        assertThat(read, is(new Codec.DecodeResult.Decoded<>(sent)));
    }

    private static Frame frame(final int number) {
        final Replica sender = new Replica("id-" + number, "10.0.0.1:7300");
        final Message body = new ReplicationMessage.LeaseRequest(number, number * 10L, sender, false, true);
        return new Frame(new Stamp(number + 1L), number, sender.id(), sender.address(), 0, body);
    }
}
