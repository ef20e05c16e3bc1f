package silverlatch.desk.dock;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import silverlatch.deck.Event;
import silverlatch.deck.Ship;
import silverlatch.desk.duty.Duty;
import silverlatch.desk.duty.Logs;
import silverlatch.wire.Codec;
import silverlatch.wire.Frame;

/** Frames over TCP: one lane out to each address, and whoever connects in. A bad frame ends its connection only. */
public final class Dock {
    private static final int LANES = 1024;
    private static final int QUEUE = 4096;
    private static final int WAIT = 1_000;
    private final String address;
    private final Consumer<Frame> sink;
    private final Map<String, Lane> lanes = new ConcurrentHashMap<>();
    private final Semaphore places = new Semaphore(LANES);
    private final AtomicLong bad = new AtomicLong();
    private final AtomicLong dropped = new AtomicLong();
    private volatile boolean over;

    /** A dock that hands what comes in to the sink. */
    public Dock(final String address, final Consumer<Frame> sink) {
        this.address = address;
        this.sink = sink;
    }

    /** Splits an address. */
    public static InetSocketAddress place(final String text) {
        final int colon = text.lastIndexOf(':');
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    /** Binds and starts to listen. */
    public void start() throws IOException {
        final ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(place(address), 256);
        Thread.ofPlatform().daemon(true).name("dock").start(() -> listen(server));
    }

    /** Sends a frame on its way; what can't go is dropped and counted. */
    public void ship(final Ship ship) {
        if (lanes.size() >= LANES && !lanes.containsKey(ship.to())) {
            dropped.incrementAndGet();
            return;
        }
        if (!lanes.computeIfAbsent(ship.to(), Lane::new).queue.offer(ship.frame())) {
            dropped.incrementAndGet();
        }
    }

    /** How many frames could not be read. */
    public long bad() {
        return bad.get();
    }

    /** How many frames could not be sent. */
    public long dropped() {
        return dropped.get();
    }

    /** Ends. */
    public void stop() {
        over = true;
    }

    private void listen(final ServerSocket server) {
        while (!over) {
            try {
                final Socket s = server.accept();
                if (places.tryAcquire()) {
                    Thread.ofVirtual().start(() -> read(s));
                } else {
                    s.close();
                }
            } catch (final IOException e) {
                dropped.incrementAndGet();
            }
        }
    }

    private void read(final Socket socket) {
        final Codec codec = new Codec();
        try (Socket s = socket; DataInputStream in = new DataInputStream(new BufferedInputStream(s.getInputStream(), 64 << 10))) {
            s.setTcpNoDelay(true);
            while (!over) {
                final int size = in.readInt();
                if (size <= 0 || size > Codec.MOST) {
                    bad(s, "a length of " + size);
                    return;
                }
                final byte[] bytes = in.readNBytes(size);
                if (bytes.length < size) {
                    return;
                }
                switch (codec.read(bytes, Frame.class)) {
                    case Codec.Read.Good<Frame> good -> sink.accept(good.thing());
                    case Codec.Read.Bad<Frame> wrong -> {
                        bad(s, wrong.why());
                        return;
                    }
                }
            }
        } catch (final IOException e) {
            dropped.addAndGet(0);
        } finally {
            places.release();
        }
    }

    private void bad(final Socket s, final String why) {
        bad.incrementAndGet();
        Logs.write(Event.BAD_FRAME, s.getRemoteSocketAddress() + " " + why);
    }

    private final class Lane {
        private final String to;
        private final ArrayBlockingQueue<Frame> queue = new ArrayBlockingQueue<>(QUEUE);

        Lane(final String to) {
            this.to = to;
            Thread.ofVirtual().start(this::run);
        }

        private void run() {
            final Codec codec = new Codec();
            while (!over) {
                try (Socket s = new Socket()) {
                    final Frame first = queue.take();
                    final long at = Duty.now();
                    s.setTcpNoDelay(true);
                    s.connect(place(to), WAIT);
                    final DataOutputStream out = new DataOutputStream(new BufferedOutputStream(s.getOutputStream(), 64 << 10));
                    if (Duty.now() - at < WAIT * 1_000L) {
                        write(out, codec, first);
                    }
                    while (!over) {
                        final Optional<Frame> next = Optional.ofNullable(queue.poll(20, TimeUnit.SECONDS));
                        if (next.isEmpty()) {
                            break;
                        }
                        write(out, codec, next.get());
                    }
                } catch (final IOException | RuntimeException e) {
                    dropped.addAndGet(1 + queue.size());
                    queue.clear();
                    pause();
                } catch (final InterruptedException e) {
                    return;
                }
            }
        }

        private void write(final DataOutputStream out, final Codec codec, final Frame f) throws IOException {
            final byte[] bytes = codec.write(f);
            out.writeInt(bytes.length);
            out.write(bytes);
            if (queue.isEmpty()) {
                out.flush();
            }
        }

        private void pause() {
            try {
                TimeUnit.MILLISECONDS.sleep(50);
            } catch (final InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
