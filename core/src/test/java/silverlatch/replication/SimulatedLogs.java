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

/** The logs on the machines' disks, by address: what is synced, under which identity, and how long a sync takes. */
final class SimulatedLogs {
    private final Map<String, List<LogRecord>> records = new TreeMap<>();
    private final Map<String, Long> newestConfigurationNumbers = new HashMap<>();
    private final Map<String, String> identities = new HashMap<>();
    private final Map<String, SimulatedDisk> simulatedDisks = new HashMap<>();
    private Optional<Supplier<SimulatedDisk>> diskModel = Optional.empty();
    private long syncMicros = 2_000;

    /** Gives every machine that starts from now on a disk of a limited speed and capacity. */
    void limitDisks(final Supplier<SimulatedDisk> model) {
        diskModel = Optional.of(model);
    }

    /** How long a sync takes from now on where disks have no limit, in microseconds. */
    void setSyncMicros(final long spanMicros) {
        syncMicros = spanMicros;
    }

    /** Opens a machine's log, made empty if there is none; gives the identity that is kept with it. */
    String open(final String address, final Supplier<String> newIdentity) {
        records.computeIfAbsent(address, missing -> new ArrayList<>());
        diskModel.ifPresent(model -> simulatedDisks.computeIfAbsent(address, missing -> model.get()));
        return identities.computeIfAbsent(address, missing -> newIdentity.get());
    }

    /** Loses a machine's disk, with its log and identity. */
    void loseDisk(final String address) {
        records.remove(address);
        newestConfigurationNumbers.remove(address);
        simulatedDisks.remove(address);
        identities.remove(address);
    }

    /** The addresses of the machines with a log. */
    Set<String> addresses() {
        return records.keySet();
    }

    /** The synced records of a machine. */
    List<LogRecord> records(final String address) {
        return records.get(address);
    }

    /** The model of a machine's disk, where there is a limit. */
    Optional<SimulatedDisk> simulatedDisk(final String address) {
        return Optional.ofNullable(simulatedDisks.get(address));
    }

    /** When a write that begins now is synced. */
    long syncedAt(final String address, final long now, final List<LogRecord> written) {
        return simulatedDisk(address).map(disk -> disk.syncedAt(now, written)).orElse(now + syncMicros);
    }

    /** Adds a record to what is synced; a snapshot replaces all before it. */
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

    /** The number of the newest configuration that is synced, or 0. */
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
