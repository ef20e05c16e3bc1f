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
import silverlatch.server.eventloop.EventLog;
import silverlatch.util.Threads;

/** The duty that records a gateway's day: a few files of bounded size, the oldest given up first. */
public final class Recorder {
    private static final long MAX_FILE_BYTES = 16L << 20;
    private static final int MAX_FILES = 4;
    private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(8_192);
    private final Path folder;
    private final AtomicLong droppedLines = new AtomicLong();

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
        if (!queue.offer(line)) {
            droppedLines.incrementAndGet();
        }
    }

    /** How many lines were dropped. */
    public long droppedLines() {
        return droppedLines.get();
    }

    private void run() {
        try {
            Files.createDirectories(folder);
            while (true) {
                rotateFiles();
                writeFile();
            }
        } catch (final IOException e) {
            EventLog.write(Event.RECORD_BROKEN, folder + " " + e.getMessage());
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void rotateFiles() throws IOException {
        for (int i = MAX_FILES - 1; i > 0; i--) {
            if (Files.exists(file(i - 1))) {
                Files.move(file(i - 1), file(i), StandardCopyOption.REPLACE_EXISTING);
            }
        }
    }

    private void writeFile() throws IOException, InterruptedException {
        long bytesWritten = 0;
        try (BufferedWriter out = Files.newBufferedWriter(file(0), StandardCharsets.UTF_8)) {
            out.write(RecordingFormat.HEADER + "\n");
            while (bytesWritten < MAX_FILE_BYTES) {
                final String line = queue.take();
                out.write(line);
                out.write('\n');
                bytesWritten += line.length() + 1;
                if (queue.isEmpty()) {
                    out.flush();
                }
            }
        }
    }

    private Path file(final int number) {
        return folder.resolve("day-" + number + ".jsonl");
    }
}
