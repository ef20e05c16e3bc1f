package silverlatch.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import silverlatch.state.Command;
import silverlatch.state.CommandResult;
import silverlatch.state.Value;

/**
 * An operator that evacuates a zone and takes that back by turns, each order sent again until it is acknowledged, and reads
 * the zone's state. A read that began after an order was acknowledged must give it, unless a newer one was sent meanwhile.
 */
final class ZoneOperator {
    private static final long GIVE_UP_MICROS = 1_000_000;

    private final OrderStorm storm;
    private final String zone;
    private final List<ZoneOrder> sent = new ArrayList<>();
    private final List<ZoneRead> pendingReads = new ArrayList<>();

    ZoneOperator(final OrderStorm storm, final String zone) {
        this.storm = storm;
        this.zone = zone;
    }

    private record ZoneRead(PendingCall call, ZoneOrder newestAcknowledged) {}

    private static final class ZoneOrder {
        private final boolean isActive;
        private Optional<PendingCall> call = Optional.empty();
        private boolean isAnswerHeard;
        private boolean isAcknowledged;

        ZoneOrder(final boolean isActive) {
            this.isActive = isActive;
        }
    }

    /** Orders the other state at times, reads, and sends what is not acknowledged. */
    void act() {
        if (sent.isEmpty() || last().isAcknowledged && storm.random().nextInt(3) == 0) {
            sent.add(new ZoneOrder(sent.size() % 2 == 0));
        }
        read();
        if (!last().isAcknowledged && last().call.isEmpty()) {
            last().isAnswerHeard = storm.random().nextBoolean();
            last().call = Optional.of(storm.submit(new Command.SetEvacuation(
                    "zone-" + storm.nextCallNumber(), zone, last().isActive, Command.SetEvacuation.LATEST)));
        }
    }

    /** Reads the zone's state at any machine, if the last order is acknowledged. */
    void read() {
        if (last().isAcknowledged) {
            pendingReads.add(new ZoneRead(storm.read("z/" + zone), last()));
        }
    }

    /** Takes the answers that came, and holds reads to what was acknowledged before them. */
    void check() {
        sent.stream().filter(order -> order.call.isPresent()).forEach(this::checkOrder);
        pendingReads.removeIf(read -> {
            read.call().answer().ifPresent(answer -> checkRead(read, (ChainClient.ReadResult) answer));
            return read.call().answer().isPresent();
        });
    }

    private ZoneOrder last() {
        return sent.get(sent.size() - 1);
    }

    private void checkOrder(final ZoneOrder order) {
        final PendingCall call = order.call.orElseThrow();
        if (call.answer().filter(CommandResult.Rejected.class::isInstance).isPresent()) {
            storm.fail("an evacuation was refused: " + call.reply());
        }
        if (call.answer().isPresent() || storm.now() - call.calledAt() > GIVE_UP_MICROS) {
            order.isAcknowledged |= call.isAcknowledged() && order.isAnswerHeard;
            order.call = Optional.empty();
        }
    }

    private void checkRead(final ZoneRead read, final ChainClient.ReadResult result) {
        final List<Boolean> active = result.entries().stream()
                .map(entry -> ((Value.Evacuation) entry.value().get(0)).active())
                .toList();
        final ZoneOrder newest = read.newestAcknowledged();
        if (result.answered() && newest == last() && !active.equals(List.of(newest.isActive))) {
            storm.fail("the zone stands at " + active + ", acknowledged was " + newest.isActive);
        }
    }
}
