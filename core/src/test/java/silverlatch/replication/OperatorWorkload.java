package silverlatch.replication;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import silverlatch.safeguard.Safeguards;
import silverlatch.state.Command;
import silverlatch.state.CommandResult;
import silverlatch.state.ConfigurationValidator;
import silverlatch.state.Entry;
import silverlatch.state.Value;

/**
 * A random workload of two operators that write configurations and evacuations through any of six machines, with up to eight
 * configuration writes in flight. Operators don't get 7 of 10 answers, and retry writes up to half a minute later, while a
 * {@link ReplicaFaultInjector} injects faults. Every answer is checked, also those that the operators don't get. Times are
 * microseconds.
 */
final class OperatorWorkload {
    private static final List<String> SEEDS = List.of("a", "b", "c");
    private static final List<String> ZONES = List.of("hall", "quay", "yard", "mole");
    private static final long SECOND = 1_000_000;
    private static final long CALL_TIMEOUT_MICROS = 880_000;
    private static final int STEPS = 260;
    private static final int MAX_IN_FLIGHT = 8;
    private static final int LOST_ANSWERS_OF_TEN = 7;
    private static final int OPERATORS = 2;

    private final long seed;
    private final int minReplicas;
    private final Random random;
    private final ReplicaCluster cluster;
    private final ReplicaFaultInjector faults;
    private final OperatorWriteGenerator generator;
    private final List<OperatorWrite> writes = new ArrayList<>();
    private final List<Call> calls = new ArrayList<>();
    private final List<DocumentRead> reads = new ArrayList<>();
    private final Map<Long, String> documentByNumber = new HashMap<>();
    private final long[] knownNumbers = new long[OPERATORS];
    private final List<ZoneOperator> zoneOperators =
            ZONES.stream().map(zone -> new ZoneOperator(this, zone)).toList();
    private long lastCallNumber;

    OperatorWorkload(final long seed, final int minReplicas, final Safeguards safeguards) {
        this.seed = seed;
        this.minReplicas = minReplicas;
        random = new Random(seed);
        cluster = new ReplicaCluster(
                SEEDS,
                1_000 + random.nextInt(60_000),
                settings -> settings.withCounts(minReplicas, ReplicaFaultInjector.MACHINES.size())
                        .withSafeguards(safeguards));
        faults = new ReplicaFaultInjector(cluster, random, minReplicas);
        generator = new OperatorWriteGenerator(random);
    }

    /** One attempt of a write; {@code isAnswerDelivered} tells whether its operator gets the answer. */
    private record Call(OperatorWrite write, PendingCall pending, boolean isAnswerDelivered, int operator) {}

    /** A pending read of the configuration, and the lowest number that it may return. */
    private record DocumentRead(PendingCall pending, long minNumber) {}

    /** Returns how many configuration writes were acknowledged. */
    long acknowledged() {
        return writes.stream().filter(OperatorWrite::isAcknowledged).count();
    }

    /** Returns how many configuration writes were rejected. */
    long rejected() {
        return writes.stream().filter(write -> write.rejections() > 0).count();
    }

    /** Returns how many configuration writes were acknowledged more than once. */
    long acknowledgedRepeatedly() {
        return writes.stream().filter(write -> write.acknowledgements() > 1).count();
    }

    /** Runs the workload and the recovery after it; throws AssertionError if a check fails. */
    void run() {
        ReplicaFaultInjector.MACHINES.forEach(address -> cluster.start(address, true));
        cluster.advance(20 * SECOND);
        for (int i = 0; i < STEPS; i++) {
            faults.injectNext();
            sendWrites();
            zoneOperators.forEach(ZoneOperator::step);
            reads.add(
                    new DocumentRead(cluster.read(faults.randomRunning(), CALL_TIMEOUT_MICROS), newestAcknowledged()));
            cluster.advance(20_000L + random.nextInt(300_000));
            check();
        }
        faults.recover();
        cluster.advance(40 * SECOND);
        check();
        resendAll();
        checkFinalReads();
    }

    Random random() {
        return random;
    }

    long now() {
        return cluster.now();
    }

    long nextCallNumber() {
        return ++lastCallNumber;
    }

    /** Submits a command through a random running machine. */
    PendingCall submit(final Command command) {
        return cluster.submit(faults.randomRunning(), command, CALL_TIMEOUT_MICROS);
    }

    /** Reads the entries of a key prefix through a random running machine. */
    PendingCall read(final String keyPrefix) {
        return cluster.read(faults.randomRunning(), keyPrefix, CALL_TIMEOUT_MICROS);
    }

    /** Fails the test; the message lists all configuration writes and the status of all replicas. */
    void fail(final String violation) {
        throw new AssertionError("seed " + seed + ", replicas " + minReplicas + ", at " + cluster.now() + ": "
                + violation
                + "\n"
                + String.join("\n", writes.stream().map(OperatorWrite::toString).toList()) + cluster);
    }

    /**
     * Retries the writes that are due, adds random new ones and sometimes repeats any earlier one, each through a random machine
     * and only while fewer than eight are in flight.
     */
    private void sendWrites() {
        final long now = cluster.now();
        for (final OperatorWrite write : writes) {
            if (write.isDue(now) && calls.size() < MAX_IN_FLIGHT) {
                send(write, random.nextInt(OPERATORS), true);
            }
        }
        final int newWrites = random.nextInt(6) == 0 ? MAX_IN_FLIGHT : random.nextInt(3);
        for (int i = 0; i < newWrites && calls.size() < MAX_IN_FLIGHT; i++) {
            final int operator = random.nextInt(OPERATORS);
            final OperatorWrite write = generator.next(knownNumbers[operator]);
            writes.add(write);
            send(write, operator, true);
        }
        if (!writes.isEmpty() && random.nextInt(3) == 0 && calls.size() < MAX_IN_FLIGHT) {
            send(writes.get(random.nextInt(writes.size())), random.nextInt(OPERATORS), true);
        }
    }

    private void send(final OperatorWrite write, final int operator, final boolean mayLoseAnswer) {
        final Command.PutConfiguration command = write.command();
        final Command.PutConfiguration attempt = new Command.PutConfiguration(
                "call-" + nextCallNumber(),
                command.configuration(),
                command.routes(),
                command.pools(),
                command.document(),
                command.expectedRevision());
        final boolean isAnswerDelivered = !mayLoseAnswer || random.nextInt(10) >= LOST_ANSWERS_OF_TEN;
        write.retryAt(cluster.now() + SECOND + random.nextInt(random.nextInt(4) == 0 ? 30_000_000 : 1_000_000));
        calls.add(new Call(write, submit(attempt), isAnswerDelivered, operator));
    }

    private long newestAcknowledged() {
        return writes.stream()
                .filter(OperatorWrite::isAcknowledged)
                .mapToLong(OperatorWrite::number)
                .max()
                .orElse(0);
    }

    private void check() {
        calls.removeIf(call -> {
            call.pending().answer().ifPresent(answer -> checkAnswer(call, answer));
            return call.pending().answer().isPresent()
                    || cluster.now() - call.pending().calledAt() > SECOND;
        });
        zoneOperators.forEach(ZoneOperator::check);
        reads.removeIf(read -> {
            read.pending().answer().ifPresent(answer -> checkRead(read, (ChainClient.ReadResult) answer));
            return read.pending().answer().isPresent();
        });
        cluster.running().forEach(this::checkCommitted);
        checkAcknowledged();
    }

    /** Checks that no invalid write is acknowledged, and that no write is both acknowledged and rejected. */
    private void checkAnswer(final Call call, final Object answer) {
        final OperatorWrite write = call.write();
        if (answer instanceof CommandResult.Applied) {
            write.recordAcknowledgement();
            if (write.isInvalid()) {
                fail("an invalid write was acknowledged: " + write);
            }
        }
        if (answer instanceof CommandResult.Rejected) {
            write.recordRejection();
        }
        if (write.isAcknowledged() && write.rejections() > 0) {
            fail("acknowledged and rejected: " + write + ", the last answer " + answer);
        }
        if (call.isAnswerDelivered() && !(answer instanceof CommandResult.Unknown)) {
            write.markAnswered();
            if (answer instanceof CommandResult.Applied) {
                knownNumbers[call.operator()] = Math.max(knownNumbers[call.operator()], write.number());
            }
        }
    }

    /** Checks that a read returns no configuration older than one acknowledged before it began. */
    private void checkRead(final DocumentRead read, final ChainClient.ReadResult result) {
        if (!result.answered()) {
            return;
        }
        final Optional<Value.ConfigurationDocument> document = result.entries().stream()
                .filter(entry -> !entry.isDeleted())
                .map(entry -> (Value.ConfigurationDocument) entry.value().get(0))
                .findFirst();
        final long number = document.map(Value.ConfigurationDocument::number).orElse(0L);
        if (number < read.minNumber()) {
            fail("a read returned " + number + " after " + read.minNumber() + " was acknowledged");
        }
        document.ifPresent(this::checkDocument);
        for (int operator = 0; operator < OPERATORS; operator++) {
            if (random.nextInt(4) > 0) {
                knownNumbers[operator] = Math.max(knownNumbers[operator], number);
            }
        }
    }

    private void checkCommitted(final String address) {
        cluster.replica(address)
                .stateMachine()
                .get(ConfigurationValidator.DOCUMENT_KEY)
                .map(Entry::value)
                .map(values -> (Value.ConfigurationDocument) values.get(0))
                .ifPresent(this::checkDocument);
    }

    /** Checks that a committed document was written by an operator, is valid, was never rejected, and is the only one under its number. */
    private void checkDocument(final Value.ConfigurationDocument document) {
        final String text = document.text();
        final long number = document.number();
        final Optional<OperatorWrite> write = writes.stream()
                .filter(candidate -> candidate.document().equals(text))
                .findFirst();
        if (write.isEmpty() || write.get().number() != number) {
            fail("no operator wrote " + text + " under " + number);
        }
        if (write.get().isInvalid() || write.get().rejections() > 0) {
            fail("committed although invalid or rejected: " + write.get());
        }
        final String other = documentByNumber.putIfAbsent(number, text);
        if (other != null && !other.equals(text)) {
            fail("two documents under " + number + ": " + other + " and " + text);
        }
    }

    /**
     * Checks that the ranges of acknowledged writes don't overlap, where the range of a write is from its expected revision
     * (exclusive) to its number. Otherwise two writes on top of the same configuration were both acknowledged.
     */
    private void checkAcknowledged() {
        final List<OperatorWrite> acknowledgedWrites =
                writes.stream().filter(OperatorWrite::isAcknowledged).toList();
        for (final OperatorWrite one : acknowledgedWrites) {
            for (final OperatorWrite other : acknowledgedWrites) {
                if (one != other
                        && one.command().expectedRevision() < other.number()
                        && other.number() <= one.number()) {
                    fail("both acknowledged: " + one + " and " + other);
                }
            }
            if (documentByNumber.containsKey(one.number())
                    && !documentByNumber.get(one.number()).equals(one.document())) {
                fail("acknowledged, but another document is committed under its number: " + one);
            }
        }
    }

    /** Sends each write twice after the recovery and checks that every attempt is either acknowledged or rejected. */
    private void resendAll() {
        for (final OperatorWrite write : writes) {
            for (int attempt = 0; attempt < 2; attempt++) {
                send(write, 0, false);
                final Call call = calls.get(calls.size() - 1);
                cluster.advance(SECOND);
                if (call.pending()
                        .answer()
                        .filter(answer -> !(answer instanceof CommandResult.Unknown))
                        .isEmpty()) {
                    fail("outcome unknown without faults: " + write + " "
                            + call.pending().answer());
                }
                check();
            }
        }
    }

    private void checkFinalReads() {
        final PendingCall document = cluster.read(faults.randomRunning(), CALL_TIMEOUT_MICROS);
        zoneOperators.forEach(ZoneOperator::read);
        cluster.advance(SECOND);
        checkRead(new DocumentRead(document, newestAcknowledged()), (ChainClient.ReadResult) document.answerOrThrow());
        zoneOperators.forEach(ZoneOperator::check);
    }
}
