package silverlatch.server.web;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadPendingException;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.Optional;
import java.util.concurrent.Executor;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * The server's end of a client's connection, which can be watched for the client's closing while a request runs. Jetty reads nothing
 * while it waits for a response, so it would notice that only when it writes.
 *
 * <p>Jetty's own connection and the watch share the one registration for reads: {@link #connectionCallback} is Jetty's, and goes
 * first. What the watch reads of a next request is kept and given to Jetty when it reads again. Any thread may call; the lock guards
 * the state, and callbacks run outside of it.
 */
final class ClientEndPoint extends SocketChannelEndPoint {
    private static final int READ_AHEAD_BYTES = 4 << 10;

    private final Executor executor;
    private final Object lock = new Object();
    private final ByteBuffer readAhead = BufferUtil.allocate(READ_AHEAD_BYTES);
    private final ReadCallback readCallback = new ReadCallback();
    private Optional<Callback> connectionCallback = Optional.empty();
    private Optional<Watcher> watcher = Optional.empty();
    private boolean isReadRegistered;
    private boolean isInputEnded;

    /** What is told once that the client has closed its side of the connection. */
    @FunctionalInterface
    interface Watcher {
        /**
         * The client sends nothing more.
         *
         * @param isReset whether the connection was reset, so that the client reads nothing more either
         */
        void onInputEnded(boolean isReset);
    }

    /** The end of an accepted connection; the executor runs callbacks that must not run on the caller's stack. */
    ClientEndPoint(
            final SocketChannel channel,
            final ManagedSelector selector,
            final SelectionKey key,
            final Scheduler scheduler,
            final Executor executor) {
        super(channel, selector, key, scheduler);
        this.executor = executor;
    }

    /** Has the watcher told when the client closes its side, until {@link #unwatch}; the request has been read to its end. */
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

    /** Ends the watch: a response is complete, and Jetty reads on. */
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

    /** Reads while no response is complete: the end of the input, or what the client sends ahead. */
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

    /** What Jetty's selector calls when the connection can be read, or has failed. */
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
            callback.ifPresent(waiting -> waiting.failed(failure));
            notified.ifPresent(waiting -> waiting.onInputEnded(true));
        }

        @Override
        public InvocationType getInvocationType() {
            synchronized (lock) {
                return connectionCallback.map(Callback::getInvocationType).orElse(InvocationType.NON_BLOCKING);
            }
        }

        /** Hands the event to Jetty's connection; false where that doesn't wait for it. */
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
