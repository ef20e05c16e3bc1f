package silverlatch.util;

/** Creates named daemon threads, which don't keep the process alive. */
public final class Threads {
    private Threads() {}

    /** Returns a daemon thread that is not started yet. */
    public static Thread daemon(final String name, final Runnable task) {
        final Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        return thread;
    }

    /** Starts a daemon thread and returns it. */
    public static Thread startDaemon(final String name, final Runnable task) {
        final Thread thread = daemon(name, task);
        thread.start();
        return thread;
    }
}
