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

/**
 * Writes a gateway's recording to a directory on a dedicated thread. The recording is kept in up to four files of bounded size, of
 * which the oldest is replaced first. If a write fails, the recording stops and the gateway continues to serve.
 */
public final class Recorder {
    private static final long MAX_FILE_BYTES = 16L << 20;
    private static final int MAX_FILES = 4;
    private static final int QUEUE_CAPACITY = 8_192;
    private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
    private final Path directory;
    private final AtomicLong droppedLines = new AtomicLong();

    /** Creates a recorder that writes to a directory, which is created if it doesn't exist. */
    public Recorder(final String directory) {
        this.directory = Path.of(directory);
    }

    /** Starts the thread that writes the files. */
    public void start() {
        Threads.startDaemon("recorder", this::run);
    }

    /** Queues a line to be written; drops and counts it if the queue is full. Thread-safe; never blocks. */
    public void write(final String line) {
        if (!queue.offer(line)) {
            droppedLines.incrementAndGet();
        }
    }

    /** Returns how many lines were dropped because the queue was full. */
    public long droppedLines() {
        return droppedLines.get();
    }

    private void run() {
        try {
            Files.createDirectories(directory);
            while (true) {
                rotateFiles();
                writeFile();
            }
        } catch (final IOException failure) {
            EventLog.write(Event.RECORD_BROKEN, directory + " " + failure.getMessage());
        } catch (final InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void rotateFiles() throws IOException {
        for (int number = MAX_FILES - 1; number > 0; number--) {
            if (Files.exists(file(number - 1))) {
                Files.move(file(number - 1), file(number), StandardCopyOption.REPLACE_EXISTING);
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
        return directory.resolve("day-" + number + ".jsonl");
    }
}
