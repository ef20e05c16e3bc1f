package silverlatch.server.replay;

import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import silverlatch.node.Event;
import silverlatch.server.eventloop.Logs;
import silverlatch.util.Threads;

/** The duty that records a gateway's day: a few files of bounded size, the oldest given up first. */
public final class Recorder {
    private static final long MOST = 16L << 20;
    private static final int FILES = 4;
    private final BlockingQueue<String> ring = new ArrayBlockingQueue<>(8_192);
    private final Path folder;
    private final AtomicLong dropped = new AtomicLong();

    /** A recorder into a folder. */
    public Recorder(final String folder) {
        this.folder = Path.of(folder);
    }

    /** Starts the duty. */
    public void start() {
        Threads.startDaemon("recorder", this::run);
    }

    /** Takes a line; it is dropped and counted when the ring is full, for tickets go first. */
    public void write(final String line) {
        if (!ring.offer(line)) {
            dropped.incrementAndGet();
        }
    }

    /** How many lines were dropped. */
    public long dropped() {
        return dropped.get();
    }

    private void run() {
        try {
            Files.createDirectories(folder);
            while (true) {
                turn();
                fill();
            }
        } catch (final IOException e) {
            Logs.write(Event.RECORD_BROKEN, folder + " " + e.getMessage());
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void turn() throws IOException {
        for (int i = FILES - 1; i > 0; i--) {
            if (Files.exists(file(i - 1))) {
                Files.move(file(i - 1), file(i), StandardCopyOption.REPLACE_EXISTING);
            }
        }
    }

    private void fill() throws IOException, InterruptedException {
        long size = 0;
        try (BufferedWriter out = Files.newBufferedWriter(file(0), StandardCharsets.UTF_8)) {
            out.write(Pages.HEAD + "\n");
            while (size < MOST) {
                final String line = ring.take();
                out.write(line);
                out.write('\n');
                size += line.length() + 1;
                if (ring.isEmpty()) {
                    out.flush();
                }
            }
        }
    }

    private Path file(final int number) {
        return folder.resolve("day-" + number + ".jsonl");
    }
}
