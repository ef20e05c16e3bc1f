package silverlatch.server.web;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadPendingException;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * The server's end of a client's connection. While a request is being served, a watcher can be notified that the client has closed the
 * connection. Jetty itself doesn't read while it waits for a response, so it would detect this only when it writes.
 *
 * <p>Jetty's connection and the watcher share a single registration for reads. {@link #connectionCallback} is Jetty's callback and has
 * precedence. If the watcher's read returns bytes of the next request, they are buffered and returned by Jetty's next read. Callable from
 * any thread; the lock guards the state, and callbacks run without it.
 */
final class ClientEndPoint extends SocketChannelEndPoint {
    private static final int READ_AHEAD_BYTES = 4 << 10;

    private final long acceptedNanos = System.nanoTime();
    private final Executor executor;
    private final Object lock = new Object();
    private final ByteBuffer readAhead = BufferUtil.allocate(READ_AHEAD_BYTES);
    private final ReadCallback readCallback = new ReadCallback();
    private Optional<Callback> connectionCallback = Optional.empty();
    private Optional<Watcher> watcher = Optional.empty();
    private boolean isReadRegistered;
    private boolean isInputEnded;

    /** Is notified once that the client has closed its side of the connection. */
    @FunctionalInterface
    interface Watcher {
        /**
         * Called when the client has closed its side, so that it sends nothing more.
         *
         * @param isReset whether the connection was reset, so that the client reads nothing more either
         */
        void onInputEnded(boolean isReset);
    }

    /** Creates the end of an accepted connection; the executor runs callbacks that must not run on the caller's stack. */
    ClientEndPoint(
            final SocketChannel channel,
            final ManagedSelector selector,
            final SelectionKey key,
            final Scheduler scheduler,
            final Executor executor) {
        super(channel, selector, key, scheduler);
        this.executor = executor;
    }

    /**
     * Notifies the watcher when the client closes its side, until {@link #unwatch}. The request must have been read completely. If the
     * end of the input was read already, the watcher is notified immediately, on a thread of the executor.
     */
    void watch(final Watcher newWatcher) {
        final boolean isEnded;
        synchronized (lock) {
            isEnded = isInputEnded;
            watcher = isEnded ? Optional.empty() : Optional.of(newWatcher);
        }
        if (isEnded) {
            executor.execute(() -> newWatcher.onInputEnded(false));
        } else {
            registerForRead();
        }
    }

    /** Returns the microseconds since the connection was accepted. */
    long ageMicros() {
        return TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - acceptedNanos);
    }

    /** Removes the watcher, because the response is complete and Jetty reads the next request. */
    void unwatch() {
        synchronized (lock) {
            watcher = Optional.empty();
        }
    }

    @Override
    public int fill(final ByteBuffer buffer) throws IOException {
        synchronized (lock) {
            if (!readAhead.hasRemaining()) {
                return super.fill(buffer);
            }
            final int position = BufferUtil.flipToFill(buffer);
            final int count = BufferUtil.put(readAhead, buffer);
            BufferUtil.flipToFlush(buffer, position);
            return count;
        }
    }

    @Override
    public void fillInterested(final Callback callback) {
        if (!tryFillInterested(callback)) {
            throw new ReadPendingException();
        }
    }

    @Override
    public boolean tryFillInterested(final Callback callback) {
        synchronized (lock) {
            if (connectionCallback.isPresent()) {
                return false;
            }
            connectionCallback = Optional.of(callback);
            if (readAhead.hasRemaining() || isInputEnded) {
                executor.execute(readCallback::deliverToConnection);
                return true;
            }
        }
        registerForRead();
        return true;
    }

    @Override
    public boolean isFillInterested() {
        synchronized (lock) {
            return connectionCallback.isPresent();
        }
    }

    private void registerForRead() {
        synchronized (lock) {
            if (isReadRegistered) {
                return;
            }
            isReadRegistered = true;
        }
        super.fillInterested(readCallback);
    }

    /**
     * Reads on behalf of the watcher while the response isn't complete. Notifies the watcher at the end of the input; bytes that the
     * client sends early are buffered, and once the buffer is full the watcher is removed.
     */
    private void readForWatcher() {
        final Optional<Watcher> notified;
        boolean isReset = false;
        synchronized (lock) {
            if (watcher.isEmpty()) {
                return;
            }
            try {
                isInputEnded = fillReadAhead() < 0;
            } catch (final IOException reset) {
                isReset = true;
                isInputEnded = true;
            }
            notified = isInputEnded ? watcher : Optional.empty();
            watcher = isInputEnded || BufferUtil.isFull(readAhead) ? Optional.empty() : watcher;
        }
        if (notified.isPresent()) {
            notified.get().onInputEnded(isReset);
        } else if (isWatched()) {
            registerForRead();
        }
    }

    private int fillReadAhead() throws IOException {
        BufferUtil.compact(readAhead);
        return super.fill(readAhead);
    }

    private boolean isWatched() {
        synchronized (lock) {
            return watcher.isPresent();
        }
    }

    /** Called by Jetty's selector when the connection can be read or has failed. */
    private final class ReadCallback implements Callback {
        @Override
        public void succeeded() {
            synchronized (lock) {
                isReadRegistered = false;
            }
            if (!deliverToConnection()) {
                readForWatcher();
            }
        }

        @Override
        public void failed(final Throwable failure) {
            final Optional<Callback> callback;
            final Optional<Watcher> notified;
            synchronized (lock) {
                isReadRegistered = false;
                callback = connectionCallback;
                notified = watcher;
                connectionCallback = Optional.empty();
                watcher = Optional.empty();
            }
            callback.ifPresent(pending -> pending.failed(failure));
            notified.ifPresent(pending -> pending.onInputEnded(true));
        }

        @Override
        public InvocationType getInvocationType() {
            synchronized (lock) {
                return connectionCallback.map(Callback::getInvocationType).orElse(InvocationType.NON_BLOCKING);
            }
        }

        /** Notifies Jetty's connection that it can read; returns false if the connection isn't waiting for a read. */
        private boolean deliverToConnection() {
            final Optional<Callback> callback;
            synchronized (lock) {
                callback = connectionCallback;
                connectionCallback = Optional.empty();
            }
            callback.ifPresent(Callback::succeeded);
            return callback.isPresent();
        }
    }
}
