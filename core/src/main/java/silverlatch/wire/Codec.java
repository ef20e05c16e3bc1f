package silverlatch.wire;

import com.esotericsoftware.kryo.Kryo;
import com.esotericsoftware.kryo.KryoException;
import com.esotericsoftware.kryo.Serializer;
import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import silverlatch.clock.Stamp;
import silverlatch.log.LogRecord;
import silverlatch.replication.LogEntry;
import silverlatch.replication.Replica;
import silverlatch.replication.View;
import silverlatch.state.Command;
import silverlatch.state.Entry;
import silverlatch.state.Value;

/**
 * Encodes and decodes frames and log records with Kryo. Only registered types are decoded, and every size is checked against the
 * remaining input, so that untrusted bytes can neither instantiate other types nor exhaust the memory.
 *
 * <p>Not thread-safe; see {@link CodecPool}.
 */
public final class Codec {
    /** The largest frame or log record, in bytes. */
    public static final int MAX_BYTES = 16 << 20;

    /** The maximum nesting depth of objects. */
    private static final int MAX_DEPTH = 24;

    private static final int FIRST_LOG_PART = 50;
    private static final int FIRST_LOG_RECORD = 100;
    private static final int FIRST_LOG_VALUE = 200;

    /** The log record types in the order of their type numbers. Listed by hand: compilers differ in the order of permitted types. */
    private static final List<Class<?>> RECORD_TYPES = List.of(
            LogRecord.Appended.class,
            LogRecord.ViewInstalled.class,
            LogRecord.Promised.class,
            LogRecord.Accepted.class,
            LogRecord.InitialViewAgreed.class,
            LogRecord.Batch.class,
            LogRecord.Snapshot.class,
            LogRecord.SnapshotPart.class);

    /** The types of stored values in the order of their type numbers. */
    private static final List<Class<?>> VALUE_TYPES = List.of(
            Value.Tenant.class,
            Value.Row.class,
            Value.Evacuation.class,
            Value.Schedule.class,
            Value.Claim.class,
            Value.Epoch.class,
            Value.Route.class,
            Value.BackendPool.class,
            Value.RoutingConfiguration.class,
            Value.ConfigurationDocument.class,
            Value.CommandOutcome.class,
            Value.AcceptedConfiguration.class,
            Value.AccessControl.class,
            Value.PublicRoute.class,
            Value.TenantAccess.class,
            Value.PoolScaling.class,
            Value.UsageWindow.class,
            Value.UsageReported.class);

    private final Kryo kryo = new Kryo();

    /** Creates a codec for frames. */
    public Codec() {
        registerBasics();
        registerFrames();
    }

    private Codec(final Map<Integer, List<Class<?>>> numbered) {
        registerBasics();
        numbered.forEach((first, types) -> {
            for (int i = 0; i < types.size(); i++) {
                kryo.register(types.get(i), WireTypes.of(types.get(i)).serializer(), first + i);
            }
        });
    }

    /**
     * Returns a codec for the records in data directories. It uses type numbers separate from those of frames, so that adding a
     * message type doesn't change the storage format. A new record or value type must be appended to the list of its kind.
     */
    public static Codec forLog() {
        return new Codec(logTypes());
    }

    /** Returns the types that are stored in data directories; each list's types are numbered consecutively from its key. */
    public static Map<Integer, List<Class<?>>> logTypes() {
        final Map<Integer, List<Class<?>>> types = new TreeMap<>();
        types.put(
                FIRST_LOG_PART,
                List.of(
                        Stamp.class,
                        Entry.class,
                        LogEntry.class,
                        Replica.class,
                        View.class,
                        Command.Cell.class,
                        Value.WeightedBackend.class,
                        Value.TenantCount.class));
        types.put(FIRST_LOG_RECORD, RECORD_TYPES);
        types.put(FIRST_LOG_VALUE, VALUE_TYPES);
        return types;
    }

    private void registerBasics() {
        kryo.setRegistrationRequired(true);
        kryo.setReferences(false);
        kryo.setMaxDepth(MAX_DEPTH);
        final StringSerializer texts = new StringSerializer();
        final ListSerializer lists = new ListSerializer();
        kryo.register(String.class, texts);
        kryo.register(long[].class, new LongArraySerializer());
        kryo.register(List.of().getClass(), lists);
        kryo.register(List.of(1).getClass(), lists);
        kryo.register(ArrayList.class, lists);
        kryo.register(List.class, lists);
    }

    private void registerFrames() {
        WireTypes.ofFrames()
                .forEach(wireType -> kryo.register(wireType.type(), wireType.serializer(), wireType.number()));
    }

    /**
     * Encodes a frame or a log record; throws KryoException if the result exceeds {@link #MAX_BYTES}.
     */
    public byte[] encode(final Object value) {
        return encode(value, MAX_BYTES);
    }

    /** Encodes a value; throws KryoException if the result exceeds the given number of bytes. */
    public byte[] encode(final Object value, final int maxBytes) {
        final Output output = new Output(512, maxBytes);
        kryo.writeClassAndObject(output, value);
        return output.toBytes();
    }

    /** Decodes a value of the given type; returns {@link DecodeResult.Malformed} for invalid input instead of throwing. */
    public <T> DecodeResult<T> decode(final byte[] bytes, final Class<T> type) {
        try {
            final Input input = new Input(bytes);
            final Object value = kryo.readClassAndObject(input);
            if (!type.isInstance(value)) {
                return new DecodeResult.Malformed<>("not a " + type.getSimpleName());
            }
            if (input.position() != bytes.length) {
                return new DecodeResult.Malformed<>("trailing bytes after the value");
            }
            return new DecodeResult.Decoded<>(type.cast(value));
        } catch (final KryoException
                | IllegalArgumentException
                | NullPointerException
                | IndexOutOfBoundsException
                | NegativeArraySizeException
                | ClassCastException
                | IllegalStateException failure) {
            return new DecodeResult.Malformed<>(failure.getClass().getSimpleName());
        } finally {
            kryo.reset();
        }
    }

    /** The result of decoding. */
    public sealed interface DecodeResult<T> {
        /** The bytes were decoded to a value of the expected type. */
        record Decoded<T>(T value) implements DecodeResult<T> {}

        /** The bytes are not a valid encoding of the expected type; the reason is meant for log messages. */
        record Malformed<T>(String reason) implements DecodeResult<T> {}
    }

    private static int readSize(final Input input, final int minBytesEach) {
        final int count = input.readInt();
        if (count < 0 || (long) count * minBytesEach > input.limit() - input.position()) {
            throw new KryoException("encoded size exceeds the remaining input");
        }
        return count;
    }

    private static final class StringSerializer extends Serializer<String> {
        StringSerializer() {
            super(false, true);
        }

        @Override
        public void write(final Kryo kryo, final Output output, final String text) {
            final byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            output.writeInt(bytes.length);
            output.writeBytes(bytes);
        }

        @Override
        public String read(final Kryo kryo, final Input input, final Class<? extends String> type) {
            return new String(input.readBytes(readSize(input, 1)), StandardCharsets.UTF_8);
        }
    }

    private static final class LongArraySerializer extends Serializer<long[]> {
        @Override
        public void write(final Kryo kryo, final Output output, final long[] list) {
            output.writeInt(list.length);
            output.writeLongs(list, 0, list.length);
        }

        @Override
        public long[] read(final Kryo kryo, final Input input, final Class<? extends long[]> type) {
            return input.readLongs(readSize(input, Long.BYTES));
        }
    }

    private static final class ListSerializer extends Serializer<List<?>> {
        ListSerializer() {
            super(false, true);
        }

        @Override
        public void write(final Kryo kryo, final Output output, final List<?> list) {
            output.writeInt(list.size());
            list.forEach(e -> kryo.writeClassAndObject(output, e));
        }

        @Override
        public List<?> read(final Kryo kryo, final Input input, final Class<? extends List<?>> type) {
            final int count = readSize(input, 1);
            final List<Object> list = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                list.add(kryo.readClassAndObject(input));
            }
            return List.copyOf(list);
        }
    }
}
