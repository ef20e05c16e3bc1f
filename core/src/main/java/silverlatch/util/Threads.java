package silverlatch.util;

/** Named daemon threads: they never keep a process alive. */
public final class Threads {
    private Threads() {}

    /** A thread that is not started yet. */
    public static Thread daemon(final String name, final Runnable task) {
        final Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        return thread;
    }

    /** Starts a thread. */
    public static Thread startDaemon(final String name, final Runnable task) {
        final Thread thread = daemon(name, task);
        thread.start();
        return thread;
    }
}
