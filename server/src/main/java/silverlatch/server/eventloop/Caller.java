package silverlatch.server.eventloop;

/**
 * The caller that waits for the result of a command. A caller that leaves without a result may send the command, or
 * another one, to another process.
 */
@FunctionalInterface
public interface Caller {
    /** A caller within this process, which waits for the result in any case. */
    Caller WAITS = listener -> {};

    /** Calls the listener, on any thread, if the caller leaves before it got the result. */
    void onLeft(Runnable listener);

    /** Returns for how many microseconds the caller may have waited already when its command was read; 0 if that isn't known. */
    default long possibleWaitMicros() {
        return 0;
    }
}
