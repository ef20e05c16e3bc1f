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
 * Encodes and decodes frames and log records with Kryo. Only registered types are read, and every size is bounded by the bytes at
 * hand, so that bytes from outside can neither make other objects nor exhaust the memory. An instance serves one thread at a time.
 */
public final class Codec {
    /** The largest frame or log record, in bytes. */
    public static final int MAX_BYTES = 16 << 20;

    /** How deep objects may be nested. */
    private static final int MAX_DEPTH = 24;

    private static final int FIRST_LOG_PART = 50;
    private static final int FIRST_LOG_RECORD = 100;
    private static final int FIRST_LOG_VALUE = 200;

    /** The records of a data folder in the order of their numbers; compilers differ in the order of permitted types. */
    private static final List<Class<?>> RECORD_TYPES = List.of(
            LogRecord.Appended.class,
            LogRecord.ViewInstalled.class,
            LogRecord.Promised.class,
            LogRecord.Accepted.class,
            LogRecord.InitialViewAgreed.class,
            LogRecord.Batch.class,
            LogRecord.Snapshot.class,
            LogRecord.SnapshotPart.class);

    /** The values in a data folder in the order of their numbers. */
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

    /** Makes a codec of frames. */
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
     * Returns a codec of the records in a data folder. Its types have numbers of their own, so that a new message leaves
     * the folders as they are; a new type of record or value goes last among its kind.
     */
    public static Codec forLog() {
        return new Codec(logTypes());
    }

    /** Returns the types that are written to data folders, by the number of the first of each kind. */
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
     * Returns the bytes of a frame or a log record; throws KryoException where they are more than {@link #MAX_BYTES}.
     */
    public byte[] encode(final Object value) {
        return encode(value, MAX_BYTES);
    }

    /** Returns the bytes of a value; throws KryoException where they are more than the given number. */
    public byte[] encode(final Object value, final int maxBytes) {
        final Output output = new Output(512, maxBytes);
        kryo.writeClassAndObject(output, value);
        return output.toBytes();
    }

    /** Decodes a value of the given type; never throws, whatever the bytes are. */
    public <T> DecodeResult<T> decode(final byte[] bytes, final Class<T> type) {
        try {
            final Input input = new Input(bytes);
            final Object value = kryo.readClassAndObject(input);
            if (!type.isInstance(value)) {
                return new DecodeResult.Malformed<>("not a " + type.getSimpleName());
            }
            if (input.position() != bytes.length) {
                return new DecodeResult.Malformed<>("bytes left over");
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
        /** The bytes are a value of the type asked for. */
        record Decoded<T>(T value) implements DecodeResult<T> {}

        /** The bytes are no such value; the reason is for the log. */
        record Malformed<T>(String reason) implements DecodeResult<T> {}
    }

    private static int readSize(final Input input, final int minBytesEach) {
        final int count = input.readInt();
        if (count < 0 || (long) count * minBytesEach > input.limit() - input.position()) {
            throw new KryoException("size beyond the bytes at hand");
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
