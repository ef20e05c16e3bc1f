package silverlatch.replication;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import silverlatch.node.Effect;
import silverlatch.wire.Codec;
import silverlatch.wire.Message;

/** Simulated links between machines with a delay in microseconds. Single links can be cut or slowed down; all can have a limited bandwidth. */
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

    /** Limits the bandwidth of every machine's link, in bytes per second; extra delays have no effect then. */
    void limitBandwidth(final long bytesPerSecond) {
        bandwidthLinks = Optional.of(
                new BandwidthLinks(bytesPerSecond, delayMicros, (task, when) -> scheduler.schedule(when, task)));
    }

    /** Returns the links with a bandwidth, if there is a limit. */
    Optional<BandwidthLinks> bandwidthLinks() {
        return bandwidthLinks;
    }

    boolean isCut(final String one, final String other) {
        return cutLinks.contains(Set.of(one, other));
    }

    /** Cuts or restores the link between two machines. */
    void setCut(final String one, final String other, final boolean isCut) {
        final Set<String> link = Set.of(one, other);
        if (isCut) {
            cutLinks.add(link);
        } else {
            cutLinks.remove(link);
        }
    }

    /** Delays messages sent between two machines from now on by this additional time. */
    void setExtraDelay(final String one, final String other, final long extraMicros) {
        extraDelays.put(Set.of(one, other), extraMicros);
    }

    /** Restores all cut links and removes all extra delays. */
    void heal() {
        cutLinks.clear();
        extraDelays.clear();
    }

    /** Drops the messages queued at a machine that is killed. */
    void dropQueued(final String address) {
        bandwidthLinks.ifPresent(links -> links.dropQueued(address));
    }

    /** Runs a task when the message has reached its receiver. */
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
