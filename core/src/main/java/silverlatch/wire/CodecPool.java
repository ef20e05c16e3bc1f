package silverlatch.wire;

import java.util.Optional;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A thread-safe pool of codecs. Creating a codec registers about a hundred classes, which takes milliseconds in a process
 * that has just started, and a codec serves one thread at a time. So connections borrow a codec for each frame instead of
 * owning one.
 */
public final class CodecPool {
    /** The maximum number of idle codecs; further ones are created under concurrent use and discarded afterwards. */
    private static final int MAX_IDLE = 4;

    private final ConcurrentLinkedQueue<Codec> idle = new ConcurrentLinkedQueue<>();
    private final AtomicInteger idleCount = new AtomicInteger();
    private final AtomicInteger createdCount = new AtomicInteger();

    /** Encodes a frame; see {@link Codec#encode(Object)}. */
    public byte[] encode(final Object value) {
        final Codec codec = borrow();
        try {
            return codec.encode(value);
        } finally {
            release(codec);
        }
    }

    /** Decodes a value of the given type; see {@link Codec#decode(byte[], Class)}. */
    public <T> Codec.DecodeResult<T> decode(final byte[] bytes, final Class<T> type) {
        final Codec codec = borrow();
        try {
            return codec.decode(bytes, type);
        } finally {
            release(codec);
        }
    }

    /** Returns the number of codecs created so far. */
    public int createdCount() {
        return createdCount.get();
    }

    private Codec borrow() {
        final Optional<Codec> idleCodec = Optional.ofNullable(idle.poll());
        if (idleCodec.isPresent()) {
            idleCount.decrementAndGet();
            return idleCodec.get();
        }
        createdCount.incrementAndGet();
        return new Codec();
    }

    private void release(final Codec codec) {
        if (idleCount.incrementAndGet() > MAX_IDLE) {
            idleCount.decrementAndGet();
            return;
        }
        idle.offer(codec);
    }
}
