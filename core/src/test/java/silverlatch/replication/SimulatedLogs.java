package silverlatch.replication;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Supplier;
import silverlatch.log.LogRecord;
import silverlatch.state.ConfigurationValidator;
import silverlatch.state.Entry;
import silverlatch.state.Value;

/** The logs on the machines' disks by address, with their synced records, the identities stored with them, and the duration of a sync. */
final class SimulatedLogs {
    private final Map<String, List<LogRecord>> records = new TreeMap<>();
    private final Map<String, Long> newestConfigurationNumbers = new HashMap<>();
    private final Map<String, String> identities = new HashMap<>();
    private final Map<String, SimulatedDisk> simulatedDisks = new HashMap<>();
    private Optional<Supplier<SimulatedDisk>> diskModel = Optional.empty();
    private long syncMicros = 2_000;

    /** Limits the speed and capacity of the disks of machines that start from now on. */
    void limitDisks(final Supplier<SimulatedDisk> model) {
        diskModel = Optional.of(model);
    }

    /** Sets the duration of a sync from now on for disks without a limit, in microseconds. */
    void setSyncMicros(final long spanMicros) {
        syncMicros = spanMicros;
    }

    /** Opens a machine's log, or creates an empty one with a new identity; returns the identity stored with the log. */
    String open(final String address, final Supplier<String> newIdentity) {
        records.computeIfAbsent(address, missing -> new ArrayList<>());
        diskModel.ifPresent(model -> simulatedDisks.computeIfAbsent(address, missing -> model.get()));
        return identities.computeIfAbsent(address, missing -> newIdentity.get());
    }

    /** Deletes a machine's disk with its log and identity. */
    void loseDisk(final String address) {
        records.remove(address);
        newestConfigurationNumbers.remove(address);
        simulatedDisks.remove(address);
        identities.remove(address);
    }

    /** Returns the addresses of the machines with a log. */
    Set<String> addresses() {
        return records.keySet();
    }

    /** Returns the synced records of a machine. */
    List<LogRecord> records(final String address) {
        return records.get(address);
    }

    /** Returns the model of a machine's disk, if disks are limited. */
    Optional<SimulatedDisk> simulatedDisk(final String address) {
        return Optional.ofNullable(simulatedDisks.get(address));
    }

    /** Returns when a write that begins now will be synced. */
    long syncedAt(final String address, final long now, final List<LogRecord> written) {
        return simulatedDisk(address).map(disk -> disk.syncedAt(now, written)).orElse(now + syncMicros);
    }

    /** Adds a record to the synced ones; a snapshot replaces all earlier records. */
    void addSynced(final String address, final LogRecord record) {
        if (record instanceof LogRecord.Snapshot snapshot) {
            records.get(address).clear();
            newestConfigurationNumbers.put(address, newestConfigurationNumber(snapshot.entries()));
        } else if (record instanceof LogRecord.Appended appended) {
            newestConfigurationNumbers.merge(
                    address, newestConfigurationNumber(appended.entry().puts()), Math::max);
        }
        records.get(address).add(record);
    }

    /** Returns the number of the newest synced configuration, or 0. */
    long newestConfigurationNumber(final String address) {
        return newestConfigurationNumbers.getOrDefault(address, 0L);
    }

    private static long newestConfigurationNumber(final List<Entry> entries) {
        return entries.stream()
                .filter(entry -> entry.key().equals(ConfigurationValidator.CONFIGURATION_KEY))
                .map(entry -> (Value.RoutingConfiguration) entry.value().get(0))
                .mapToLong(Value.RoutingConfiguration::number)
                .max()
                .orElse(0);
    }
}
