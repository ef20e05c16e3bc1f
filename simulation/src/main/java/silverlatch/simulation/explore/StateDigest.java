package silverlatch.simulation.explore;

import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import silverlatch.replication.ChainReplica;
import silverlatch.replication.ReplicaSettings;

/**
 * Computes a 64-bit digest of everything in a {@link World} that can affect its later behaviour: the fields of each replica
 * and client (by reflection), disks, unsynced writes, messages in flight, cut links, clock and history. The digest of a set or
 * map doesn't depend on its order. Functions (the continuations of writes) contribute only their class, as what they capture
 * is also in the unsynced write that they wait for.
 */
final class StateDigest {
    private static final long SEED = 0x9E3779B97F4A7C15L;
    private static final Map<Class<?>, List<Field>> FIELDS = new ConcurrentHashMap<>();
    private static final Set<Class<?>> REPLICA_PARTS = Arrays.stream(ChainReplica.class.getDeclaredFields())
            .map(Field::getType)
            .filter(type -> type.getPackage() == ChainReplica.class.getPackage())
            .collect(Collectors.toSet());

    private StateDigest() {}

    /** Returns the digest of a world. */
    static long of(final World world) {
        long sum = mix(world.now());
        for (final Machine machine : world.machines()) {
            sum = mix(sum ^ digest(machine.disk()));
            sum = mix(sum ^ digest(machine.pendingWrites()));
            sum = mix(sum + (machine.isFrozen() ? 1 : 0) + (machine.awaitsRepair() ? 2 : 0));
            sum = mix(sum ^ machine.process().map(StateDigest::digest).orElse(SEED));
        }
        for (int from = 0; from < world.machines().size(); from++) {
            for (int to = 0; to < world.machines().size(); to++) {
                sum = mix(sum ^ digest(world.network().channel(from, to)));
                sum = mix(sum + (world.network().isCut(from, to) ? 1 : 0));
            }
        }
        return mix(sum ^ history(world.history()));
    }

    /** Digests operations with their outcomes; of their times, only which ended before which began is relevant. */
    private static long history(final History history) {
        final List<Operation> operations = history.operations();
        long sum = operations.size();
        for (final Operation operation : operations) {
            sum = mix(sum ^ operation.kind().ordinal() ^ operation.text().hashCode());
            sum = mix(sum ^ outcome(operation));
            for (final Operation other : operations) {
                sum = mix(sum + (other.end() < operation.start() ? 1 : 0));
            }
        }
        return sum;
    }

    private static long outcome(final Operation operation) {
        return operation
                .outcome()
                .map(outcome -> switch (outcome) {
                    case Operation.Outcome.Acknowledged done -> 1L;
                    case Operation.Outcome.Refused done -> 2L;
                    case Operation.Outcome.Value value -> 3L + value.value().hashCode();
                })
                .orElse(0L);
    }

    private static long digest(final Object value) {
        if (value instanceof Number number) {
            return mix(number.longValue());
        }
        if (value instanceof String || value instanceof Boolean) {
            return mix(value.hashCode());
        }
        if (value instanceof Enum<?> constant) {
            return mix(constant.ordinal());
        }
        if (value instanceof Optional<?> optional) {
            return optional.isPresent() ? mix(digest(optional.get()) + 1) : SEED;
        }
        if (value instanceof Map<?, ?> map) {
            return map(map);
        }
        if (value instanceof Collection<?> collection) {
            return collection(collection);
        }
        if (value instanceof long[] numbers) {
            return mix(Arrays.hashCode(numbers));
        }
        return object(value);
    }

    private static long map(final Map<?, ?> map) {
        long sum = map.size();
        for (final Map.Entry<?, ?> entry : map.entrySet()) {
            sum += mix(digest(entry.getKey()) * 3 + digest(entry.getValue()));
        }
        return mix(sum);
    }

    private static long collection(final Collection<?> collection) {
        long sum = collection.size();
        for (final Object element : collection) {
            sum = collection instanceof Set ? sum + mix(digest(element)) : mix(sum ^ digest(element));
        }
        return mix(sum);
    }

    private static long object(final Object value) {
        long sum = value.getClass().getSimpleName().hashCode();
        for (final Field field : FIELDS.computeIfAbsent(value.getClass(), StateDigest::fields)) {
            sum = mix(sum ^ digest(read(field, value)));
        }
        return sum;
    }

    private static Object read(final Field field, final Object value) {
        try {
            return field.get(value);
        } catch (final IllegalAccessException failure) {
            throw new IllegalStateException(failure);
        }
    }

    /** Returns the fields to digest: no static or function fields, and none that {@link #constant} excludes. */
    private static List<Field> fields(final Class<?> type) {
        final List<Field> fields = new ArrayList<>();
        final boolean own = type.getName().startsWith("silverlatch.") && !type.isHidden() && !type.isSynthetic();
        for (final Field field : own ? type.getDeclaredFields() : new Field[0]) {
            final boolean fixed = field.getType().getName().startsWith("java.util.function.")
                    || Modifier.isStatic(field.getModifiers());
            if (!fixed && !constant(type, field)) {
                field.setAccessible(true);
                fields.add(field);
            }
        }
        return List.copyOf(fields);
    }

    /**
     * Returns whether a field of a replica's class is excluded: its settings, which never change, and references between the
     * components of a replica, each of which is digested once as a field of the replica itself.
     */
    private static boolean constant(final Class<?> type, final Field field) {
        final boolean isPartOfReplica = type.getPackage() == ChainReplica.class.getPackage();
        return isPartOfReplica
                && (field.getType() == ReplicaSettings.class
                        || type != ChainReplica.class && REPLICA_PARTS.contains(field.getType()));
    }

    private static long mix(final long seed) {
        final long first = (seed ^ seed >>> 30) * 0xBF58476D1CE4E5B9L;
        final long second = (first ^ first >>> 27) * 0x94D049BB133111EBL;
        return second ^ second >>> 31;
    }
}
