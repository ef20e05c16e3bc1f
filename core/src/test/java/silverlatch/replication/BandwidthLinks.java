package silverlatch.replication;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.ObjLongConsumer;

/**
 * Simulated machine links with a limited bandwidth. As in the transport, there is one connection per pair of machines and
 * direction, which sends its frames in order, except that urgent frames overtake other frames of which nothing was sent yet.
 * The connections of a machine share its link packet by packet in round-robin order; the receiver's link transfers packets in
 * the order of their arrival.
 */
final class BandwidthLinks {
    private static final long PACKET_BYTES = 16 << 10;
    private final long bytesPerSecond;
    private final long delayMicros;
    private final ObjLongConsumer<Runnable> scheduler;
    private final Map<String, Map<String, Deque<Frame>>> connections = new HashMap<>();
    private final Map<String, Boolean> sending = new HashMap<>();
    private final Map<String, Long> receiverFreeAt = new HashMap<>();
    private final Map<String, Long> receivedBytes = new HashMap<>();

    /** Creates links with this bandwidth and a delay in microseconds; the scheduler runs a task at a given time. */
    BandwidthLinks(final long bytesPerSecond, final long delayMicros, final ObjLongConsumer<Runnable> scheduler) {
        this.bytesPerSecond = bytesPerSecond;
        this.delayMicros = delayMicros;
        this.scheduler = scheduler;
    }

    /** Sends a frame; {@code deliver} runs when the receiver's link has transferred its last packet. */
    void send(
            final String from,
            final String to,
            final long bytes,
            final boolean urgent,
            final long now,
            final Runnable deliver) {
        final Deque<Frame> queue = connections
                .computeIfAbsent(from, f -> new LinkedHashMap<>())
                .computeIfAbsent(to, t -> new ArrayDeque<>());
        final Deque<Frame> overtaken = new ArrayDeque<>();
        while (urgent && !queue.isEmpty() && !queue.peekLast().urgent && !queue.peekLast().isStarted) {
            overtaken.addFirst(queue.pollLast());
        }
        queue.add(new Frame(bytes, urgent, deliver));
        queue.addAll(overtaken);
        if (!sending.getOrDefault(from, false)) {
            sending.put(from, true);
            sendPacket(from, now);
        }
    }

    /** Returns how many bytes a machine has received. */
    long receivedBytes(final String address) {
        return receivedBytes.getOrDefault(address, 0L);
    }

    /** Returns how many bytes are queued at a machine. */
    long queuedBytes(final String from) {
        return connections.getOrDefault(from, Map.of()).values().stream()
                .flatMap(Deque::stream)
                .mapToLong(f -> f.bytesLeft)
                .sum();
    }

    /** Drops the frames that a machine has not sent yet. */
    void dropQueued(final String from) {
        connections.remove(from);
    }

    private void sendPacket(final String from, final long now) {
        final Map<String, Deque<Frame>> queues = connections.getOrDefault(from, Map.of());
        queues.values().removeIf(Deque::isEmpty);
        if (queues.isEmpty()) {
            sending.put(from, false);
            return;
        }
        final Iterator<Map.Entry<String, Deque<Frame>>> iterator =
                queues.entrySet().iterator();
        final Map.Entry<String, Deque<Frame>> next = iterator.next();
        final String to = next.getKey();
        final Deque<Frame> queue = next.getValue();
        iterator.remove();
        queues.put(to, queue);
        final Frame frame = queue.peek();
        final long bytes = Math.min(PACKET_BYTES, frame.bytesLeft);
        frame.isStarted = true;
        frame.bytesLeft -= bytes;
        final boolean last = frame.bytesLeft == 0;
        if (last) {
            queue.poll();
        }
        final long end = now + transferMicros(bytes);
        scheduler.accept(() -> sendPacket(from, end), end);
        scheduler.accept(() -> receive(to, bytes, end + delayMicros, last, frame.deliver), end + delayMicros);
    }

    private void receive(
            final String to, final long bytes, final long now, final boolean last, final Runnable deliver) {
        final long end = Math.max(now, receiverFreeAt.getOrDefault(to, 0L)) + transferMicros(bytes);
        receiverFreeAt.put(to, end);
        receivedBytes.merge(to, bytes, Long::sum);
        if (last) {
            scheduler.accept(deliver, end);
        }
    }

    private long transferMicros(final long bytes) {
        return bytes * 1_000_000 / bytesPerSecond;
    }

    private static final class Frame {
        private final boolean urgent;
        private final Runnable deliver;
        private long bytesLeft;
        private boolean isStarted;

        Frame(final long bytes, final boolean urgent, final Runnable deliver) {
            this.urgent = urgent;
            this.bytesLeft = bytes;
            this.deliver = deliver;
        }
    }
}
