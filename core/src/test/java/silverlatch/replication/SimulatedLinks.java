package silverlatch.replication;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import silverlatch.node.Effect;
import silverlatch.wire.Codec;
import silverlatch.wire.Message;

/** Links between machines with a delay in microseconds; single ones may be cut or slow, all may have a bandwidth. */
final class SimulatedLinks {
    private final SimulatedScheduler scheduler;
    private final long delayMicros;
    private final Codec codec = new Codec();
    private final Set<Set<String>> cutLinks = new HashSet<>();
    private final Map<Set<String>, Long> extraDelays = new HashMap<>();
    private Optional<BandwidthLinks> bandwidthLinks = Optional.empty();

    SimulatedLinks(final SimulatedScheduler scheduler, final long delayMicros) {
        this.scheduler = scheduler;
        this.delayMicros = delayMicros;
    }

    /** Gives every machine a link of so many bytes a second; extra delays don't hold then. */
    void limitBandwidth(final long bytesPerSecond) {
        bandwidthLinks = Optional.of(
                new BandwidthLinks(bytesPerSecond, delayMicros, (task, when) -> scheduler.schedule(when, task)));
    }

    /** The links with a bandwidth, where there is a limit. */
    Optional<BandwidthLinks> bandwidthLinks() {
        return bandwidthLinks;
    }

    boolean isCut(final String one, final String other) {
        return cutLinks.contains(Set.of(one, other));
    }

    /** Nothing goes between two machines, or all does again. */
    void cut(final String one, final String other, final boolean isCut) {
        final Set<String> link = Set.of(one, other);
        if (isCut) {
            cutLinks.add(link);
        } else {
            cutLinks.remove(link);
        }
    }

    /** What is sent between two machines from now on comes later by so much. */
    void slow(final String one, final String other, final long extraMicros) {
        extraDelays.put(Set.of(one, other), extraMicros);
    }

    /** No link is cut or slow any more. */
    void heal() {
        cutLinks.clear();
        extraDelays.clear();
    }

    /** Drops what is queued at a machine whose power ends. */
    void drop(final String address) {
        bandwidthLinks.ifPresent(links -> links.drop(address));
    }

    /** Runs a task when the message has come to its receiver. */
    void deliver(final String from, final Effect.Send send, final Runnable task) {
        bandwidthLinks.ifPresentOrElse(
                links -> links.send(
                        from,
                        send.to(),
                        codec.encode(send.message()).length,
                        Message.isUrgent(send.message()),
                        scheduler.now(),
                        task),
                () -> scheduler.schedule(scheduler.now() + delayMicros + extraDelay(from, send.to()), task));
    }

    private long extraDelay(final String from, final String to) {
        return extraDelays.getOrDefault(Set.of(from, to), 0L);
    }
}
