package silverlatch.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import silverlatch.state.Command;
import silverlatch.state.CommandResult;
import silverlatch.state.Value;

/**
 * An operator that alternately starts and ends the evacuation of a zone, retries each write until it is acknowledged, and
 * reads the zone's state. A read that began after a write was acknowledged must return that write's state, unless a newer
 * write was sent meanwhile.
 */
final class ZoneOperator {
    private static final long ANSWER_TIMEOUT_MICROS = 1_000_000;

    private final OperatorWorkload workload;
    private final String zone;
    private final List<ZoneWrite> writes = new ArrayList<>();
    private final List<ZoneRead> pendingReads = new ArrayList<>();

    ZoneOperator(final OperatorWorkload workload, final String zone) {
        this.workload = workload;
        this.zone = zone;
    }

    private record ZoneRead(PendingCall call, ZoneWrite newestAcknowledged) {}

    private static final class ZoneWrite {
        private final boolean isActive;
        private Optional<PendingCall> call = Optional.empty();
        private boolean isAnswerDelivered;
        private boolean isAcknowledged;

        ZoneWrite(final boolean isActive) {
            this.isActive = isActive;
        }
    }

    /** Sometimes begins a write of the other state, reads the state, and sends the newest write until it is acknowledged. */
    void step() {
        if (writes.isEmpty() || last().isAcknowledged && workload.random().nextInt(3) == 0) {
            writes.add(new ZoneWrite(writes.size() % 2 == 0));
        }
        read();
        if (!last().isAcknowledged && last().call.isEmpty()) {
            last().isAnswerDelivered = workload.random().nextBoolean();
            last().call = Optional.of(workload.submit(new Command.SetEvacuation(
                    "zone-" + workload.nextCallNumber(), zone, last().isActive, Command.SetEvacuation.LATEST)));
        }
    }

    /** Reads the zone's state through a random machine, if the newest write is acknowledged. */
    void read() {
        if (last().isAcknowledged) {
            pendingReads.add(new ZoneRead(workload.read("z/" + zone), last()));
        }
    }

    /** Handles the answers that arrived, and checks reads against the write acknowledged before them. */
    void check() {
        writes.stream().filter(write -> write.call.isPresent()).forEach(this::checkWrite);
        pendingReads.removeIf(read -> {
            read.call().answer().ifPresent(answer -> checkRead(read, (ChainClient.ReadResult) answer));
            return read.call().answer().isPresent();
        });
    }

    private ZoneWrite last() {
        return writes.get(writes.size() - 1);
    }

    private void checkWrite(final ZoneWrite write) {
        final PendingCall call = write.call.orElseThrow();
        if (call.answer().filter(CommandResult.Rejected.class::isInstance).isPresent()) {
            workload.fail("an evacuation was rejected: " + call.answerOrThrow());
        }
        if (call.answer().isPresent() || workload.now() - call.calledAt() > ANSWER_TIMEOUT_MICROS) {
            write.isAcknowledged |= call.isAcknowledged() && write.isAnswerDelivered;
            write.call = Optional.empty();
        }
    }

    private void checkRead(final ZoneRead read, final ChainClient.ReadResult result) {
        final List<Boolean> active = result.entries().stream()
                .map(entry -> ((Value.Evacuation) entry.value().get(0)).active())
                .toList();
        final ZoneWrite newest = read.newestAcknowledged();
        if (result.answered() && newest == last() && !active.equals(List.of(newest.isActive))) {
            workload.fail("a read of the zone returned " + active + ", acknowledged was " + newest.isActive);
        }
    }
}
