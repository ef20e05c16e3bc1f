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
 * How operators reach the controllers: reads and commands go to any controller that is up, and commands on one key go one
 * after another, each submitted anew until it is applied.
 */
final class CommandSubmitter {
    /** How long an operator waits for an answer, in microseconds. */
    static final long TIMEOUT = 3_000_000L;

    private static final long RETRY_DELAY = 200_000L;
    private static final long LOST_REPLY_TIMEOUT = 8_000_000L;
    private final World world;
    private final Map<String, Deque<Runnable>> queuesByKey = new HashMap<>();

    CommandSubmitter(final World world) {
        this.world = world;
    }

    /** Any controller that is up, if there is one. */
    Optional<SimulatedNode> randomController() {
        final List<SimulatedNode> running =
                world.controllers().stream().filter(SimulatedNode::isAlive).toList();
        return running.isEmpty() ? Optional.empty() : Optional.of(world.randomOf(running));
    }

    /** Reads the entries whose keys start so; nothing comes back when the controller can't answer in time. */
    void read(final SimulatedNode controller, final String prefix, final Consumer<ChainClient.ReadResult> whenRead) {
        controller.read(prefix, TIMEOUT, reply -> {
            if (reply instanceof ChainClient.ReadResult page && page.answered()) {
                whenRead.accept(page);
            }
        });
    }

    /** The sequence of the entry of a key, or 0 where there is none. */
    static long sequenceOf(final ChainClient.ReadResult page, final String key) {
        return page.entries().stream()
                .filter(entry -> entry.key().equals(key))
                .mapToLong(Entry::sequence)
                .findFirst()
                .orElse(0);
    }

    /** The sequence of the newest entry, or 0 where there is none. */
    static long newestSequence(final ChainClient.ReadResult page) {
        return page.entries().stream().mapToLong(Entry::sequence).max().orElse(0);
    }

    /**
     * Submits a command until it is applied.
     *
     * @param prefix      what is read before each attempt
     * @param key         the entry that the command changes, behind the commands on it that were submitted before; an empty
     *                    key goes at once, and matches the newest of all entries read
     * @param command     makes the command, given the sequence that it is to match
     * @param whenApplied is given the sequence at which it was applied
     */
    void submitUntilApplied(
            final String prefix,
            final String key,
            final LongFunction<Command> command,
            final LongConsumer whenApplied) {
        if (key.isEmpty()) {
            attempt(new Submission(prefix, key, command, whenApplied));
            return;
        }
        enqueue(
                key,
                done -> attempt(new Submission(prefix, key, command, sequence -> {
                    whenApplied.accept(sequence);
                    done.run();
                })));
    }

    /** Does something once all that was queued on a key before is done; it must run what it is given at its end. */
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

    private record Submission(String prefix, String key, LongFunction<Command> command, LongConsumer whenApplied) {
        long match(final ChainClient.ReadResult page) {
            return key.isEmpty() ? newestSequence(page) : sequenceOf(page, key);
        }
    }

    /** One attempt at one controller; what it ends with counts once, also when the controller's process ends. */
    private final class Attempt {
        private final Submission submission;
        private final SimulatedNode controller;
        private boolean ended;

        Attempt(final Submission submission, final SimulatedNode controller) {
            this.submission = submission;
            this.controller = controller;
        }

        void start() {
            final long askedIn = controller.generation();
            world.scheduler().schedule(LOST_REPLY_TIMEOUT, () -> {
                if (askedIn != controller.generation()) {
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
                    submission.whenApplied().accept(applied.sequence());
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

    /** Each attempt matches the sequence just read, so that no earlier copy of the command can take effect late. */
    private void attempt(final Submission submission) {
        randomController()
                .ifPresentOrElse(
                        controller -> new Attempt(submission, controller).start(), () -> retryLater(submission));
    }

    private void retryLater(final Submission submission) {
        world.scheduler().schedule(RETRY_DELAY, () -> attempt(submission));
    }
}
