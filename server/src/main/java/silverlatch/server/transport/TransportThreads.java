package silverlatch.server.transport;

import java.lang.invoke.MethodHandle;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.MethodType;
import java.util.Optional;

/**
 * Starts the threads of the transport: virtual threads if the JDK supports them (21 and above), otherwise daemon threads with a
 * small stack. The sources compile for JDK 17, so the newer method is looked up when the class is loaded.
 */
final class TransportThreads {
    /** Stack size of a thread, which only reads or writes one socket. */
    private static final long STACK_BYTES = 192L << 10;

    private static final Optional<MethodHandle> START_VIRTUAL = findStartVirtual();

    private TransportThreads() {}

    /** Starts a thread that does not keep the process alive. */
    static void start(final String name, final Runnable task) {
        if (START_VIRTUAL.isPresent()) {
            startVirtual(START_VIRTUAL.get(), () -> {
                Thread.currentThread().setName(name);
                task.run();
            });
            return;
        }
        final Thread thread = new Thread(null, task, name, STACK_BYTES);
        thread.setDaemon(true);
        thread.start();
    }

    private static void startVirtual(final MethodHandle start, final Runnable task) {
        try {
            final Thread started = (Thread) start.invokeExact(task);
            assert started.isDaemon();
        } catch (final RuntimeException | Error failure) {
            throw failure;
        } catch (final Throwable failure) {
            throw new IllegalStateException("a virtual thread could not be started", failure);
        }
    }

    private static Optional<MethodHandle> findStartVirtual() {
        if (Runtime.version().feature() < 21) {
            return Optional.empty();
        }
        try {
            return Optional.of(MethodHandles.publicLookup()
                    .findStatic(
                            Thread.class, "startVirtualThread", MethodType.methodType(Thread.class, Runnable.class)));
        } catch (final NoSuchMethodException | IllegalAccessException failure) {
            return Optional.empty();
        }
    }
}
