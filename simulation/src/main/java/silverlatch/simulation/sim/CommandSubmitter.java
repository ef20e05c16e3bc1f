package silverlatch.simulation.sim;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.LongFunction;
import silverlatch.replication.ChainClient;
import silverlatch.state.Command;
import silverlatch.state.CommandResult;
import silverlatch.state.Entry;

/**
 * Sends the operators' reads and commands to a random running controller. Commands on one key are submitted one after another,
 * and each is retried until it is applied.
 */
final class CommandSubmitter {
    /** How long an operator waits for a reply, in microseconds. */
    static final long TIMEOUT = 3_000_000L;

    private static final long RETRY_DELAY = 200_000L;
    private static final long LOST_REPLY_TIMEOUT = 8_000_000L;
    private final World world;
    private final Map<String, Deque<Runnable>> queuesByKey = new HashMap<>();

    CommandSubmitter(final World world) {
        this.world = world;
    }

    /** Returns a random running controller, if there is one. */
    Optional<SimulatedNode> randomController() {
        final List<SimulatedNode> running =
                world.controllers().stream().filter(SimulatedNode::isAlive).toList();
        return running.isEmpty() ? Optional.empty() : Optional.of(world.randomOf(running));
    }

    /** Reads the entries with a key prefix; doesn't call {@code onRead} if the controller doesn't reply in time. */
    void read(final SimulatedNode controller, final String prefix, final Consumer<ChainClient.ReadResult> onRead) {
        controller.read(prefix, TIMEOUT, reply -> {
            if (reply instanceof ChainClient.ReadResult page && page.answered()) {
                onRead.accept(page);
            }
        });
    }

    /** Returns the sequence number of a key's entry, or 0 if there is none. */
    static long sequenceOf(final ChainClient.ReadResult page, final String key) {
        return page.entries().stream()
                .filter(entry -> entry.key().equals(key))
                .mapToLong(Entry::sequence)
                .findFirst()
                .orElse(0);
    }

    /** Returns the sequence number of the newest entry, or 0 if there is none. */
    static long newestSequence(final ChainClient.ReadResult page) {
        return page.entries().stream().mapToLong(Entry::sequence).max().orElse(0);
    }

    /**
     * Submits a command, and retries until it is applied.
     *
     * @param prefix      the key prefix that is read before each attempt
     * @param key         the key of the entry that the command changes; commands on one key wait for earlier ones. With an empty
     *                    key the command doesn't wait, and matches the newest of all entries read
     * @param command     creates the command from the sequence number that it must match
     * @param onApplied receives the sequence number at which the command was applied
     */
    void submitUntilApplied(
            final String prefix, final String key, final LongFunction<Command> command, final LongConsumer onApplied) {
        if (key.isEmpty()) {
            attempt(new Submission(prefix, key, command, onApplied));
            return;
        }
        enqueue(
                key,
                done -> attempt(new Submission(prefix, key, command, sequence -> {
                    onApplied.accept(sequence);
                    done.run();
                })));
    }

    /**
     * Runs a task once all tasks queued before on its key are done; the task must run the callback that it gets when it is
     * done.
     */
    void enqueue(final String key, final Consumer<Runnable> task) {
        final Deque<Runnable> queue = queuesByKey.computeIfAbsent(key, k -> new ArrayDeque<>());
        queue.add(() -> task.accept(() -> {
            queue.poll();
            Optional.ofNullable(queue.peek()).ifPresent(Runnable::run);
        }));
        if (queue.size() == 1) {
            queue.peek().run();
        }
    }

    private record Submission(String prefix, String key, LongFunction<Command> command, LongConsumer onApplied) {
        long match(final ChainClient.ReadResult page) {
            return key.isEmpty() ? newestSequence(page) : sequenceOf(page, key);
        }
    }

    /** One attempt at one controller. It ends once: with a reply, or by a timeout if the controller's process has ended. */
    private final class Attempt {
        private final Submission submission;
        private final SimulatedNode controller;
        private boolean ended;

        Attempt(final Submission submission, final SimulatedNode controller) {
            this.submission = submission;
            this.controller = controller;
        }

        void start() {
            final long askedGeneration = controller.generation();
            world.scheduler().schedule(LOST_REPLY_TIMEOUT, () -> {
                if (askedGeneration != controller.generation()) {
                    failed();
                }
            });
            controller.read(submission.prefix(), TIMEOUT, this::onReadReply);
        }

        private void onReadReply(final Object reply) {
            if (ended) {
                return;
            }
            if (!(reply instanceof ChainClient.ReadResult page) || !page.answered()) {
                failed();
                return;
            }
            final Command command = submission.command().apply(submission.match(page));
            controller.submit(command, TIMEOUT, this::onCommandReply);
        }

        private void onCommandReply(final Object result) {
            if (result instanceof CommandResult.Applied applied) {
                if (!ended) {
                    ended = true;
                    submission.onApplied().accept(applied.sequence());
                }
            } else {
                failed();
            }
        }

        private void failed() {
            if (!ended) {
                ended = true;
                retryLater(submission);
            }
        }
    }

    /**
     * Starts an attempt. Each one matches the sequence number that it just read, so that no earlier attempt can take effect
     * late.
     */
    private void attempt(final Submission submission) {
        randomController()
                .ifPresentOrElse(
                        controller -> new Attempt(submission, controller).start(), () -> retryLater(submission));
    }

    private void retryLater(final Submission submission) {
        world.scheduler().schedule(RETRY_DELAY, () -> attempt(submission));
    }
}
