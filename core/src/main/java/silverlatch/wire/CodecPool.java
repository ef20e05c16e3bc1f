package silverlatch.wire;

import java.util.Optional;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Codecs shared by the threads of a process. A codec registers some hundred classes when it is made, which takes
 * milliseconds in a process that has just started, and it serves one thread at a time: connections borrow one for each
 * frame instead of owning one.
 */
public final class CodecPool {
    /** Idle codecs that are kept; more are made while more threads encode or decode at once, and dropped afterwards. */
    private static final int MAX_IDLE = 4;

    private final ConcurrentLinkedQueue<Codec> idle = new ConcurrentLinkedQueue<>();
    private final AtomicInteger idleCount = new AtomicInteger();
    private final AtomicInteger createdCount = new AtomicInteger();

    /** Returns the bytes of a frame or a record; see {@link Codec#encode(Object)}. */
    public byte[] encode(final Object value) {
        final Codec codec = borrow();
        try {
            return codec.encode(value);
        } finally {
            release(codec);
        }
    }

    /** Decodes a value; see {@link Codec#decode(byte[], Class)}. */
    public <T> Codec.DecodeResult<T> decode(final byte[] bytes, final Class<T> type) {
        final Codec codec = borrow();
        try {
            return codec.decode(bytes, type);
        } finally {
            release(codec);
        }
    }

    /** Returns how many codecs were made so far. */
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
