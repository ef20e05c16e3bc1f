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
 * Writes a gateway's recording on a thread of its own, into a few files of bounded size, of which the oldest is replaced first. When
 * the disk fails the recording ends and the gateway goes on.
 */
public final class Recorder {
    private static final long MAX_FILE_BYTES = 16L << 20;
    private static final int MAX_FILES = 4;
    private static final int QUEUE_CAPACITY = 8_192;
    private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
    private final Path folder;
    private final AtomicLong droppedLines = new AtomicLong();

    /** A recorder into a folder, which is made where there is none. */
    public Recorder(final String folder) {
        this.folder = Path.of(folder);
    }

    /** Starts the thread. */
    public void start() {
        Threads.startDaemon("recorder", this::run);
    }

    /** Queues a line, or drops and counts it where the queue is full. Callable from any thread; doesn't block. */
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
        } catch (final IOException failure) {
            EventLog.write(Event.RECORD_BROKEN, folder + " " + failure.getMessage());
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
        return folder.resolve("day-" + number + ".jsonl");
    }
}
