package silverlatch.simulation.explore;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/** Runs the same task on several threads and waits until all have ended. */
final class ParallelRunner {
    private ParallelRunner() {}

    /** Runs a task once on each of a number of threads; throws {@link IllegalStateException} if one of them fails. */
    static void run(final int threads, final Runnable task) {
        final ExecutorService pool = Executors.newFixedThreadPool(threads, runnable -> {
            final Thread thread = new Thread(runnable, "explore");
            thread.setDaemon(true);
            return thread;
        });
        try {
            final List<Future<?>> all = new ArrayList<>();
            for (int i = 0; i < threads; i++) {
                all.add(pool.submit(task));
            }
            for (final Future<?> one : all) {
                one.get();
            }
        } catch (final InterruptedException | ExecutionException failure) {
            throw new IllegalStateException(failure);
        } finally {
            pool.shutdown();
        }
    }
}
