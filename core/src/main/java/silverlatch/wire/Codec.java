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

/** Turns frames and notes into bytes and back: registered classes only, every size bounded by the bytes at hand. */
public final class Codec {
    /** The largest frame or note. */
    public static final int MAX_BYTES = 16 << 20;

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
            LogRecord.Founding.class,
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
            Value.AcceptedConfiguration.class);

    private final Kryo kryo = new Kryo();

    /** Makes a codec of frames; it serves one thread. */
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
     * Makes a codec of the records in a data folder. Its types have numbers of their own, so that a new message leaves
     * the folders as they are; a new type of record or value goes last among its kind.
     */
    public static Codec forLog() {
        return new Codec(logTypes());
    }

    /** The types that are written to data folders, by the number of the first of each kind. */
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
                        Value.WeightedBackend.class));
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

    /** The bytes of a frame or a note. */
    public byte[] encode(final Object value) {
        return encode(value, MAX_BYTES);
    }

    /** The bytes of a thing that may be larger than a frame. */
    public byte[] encode(final Object value, final int maxBytes) {
        final Output output = new Output(512, maxBytes);
        kryo.writeClassAndObject(output, value);
        return output.toBytes();
    }

    /** What the bytes say, or why they can't be read. */
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
                | IllegalStateException e) {
            return new DecodeResult.Malformed<>(e.getClass().getSimpleName());
        } finally {
            kryo.reset();
        }
    }

    /** What reading gave. */
    public sealed interface DecodeResult<T> {
        /** It was read. */
        record Decoded<T>(T value) implements DecodeResult<T> {}

        /** It is not one of ours. */
        record Malformed<T>(String reason) implements DecodeResult<T> {}
    }

    private static int size(final Input input, final int minBytesEach) {
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
            return new String(input.readBytes(size(input, 1)), StandardCharsets.UTF_8);
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
            return input.readLongs(size(input, Long.BYTES));
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
            final int count = size(input, 1);
            final List<Object> list = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                list.add(kryo.readClassAndObject(input));
            }
            return List.copyOf(list);
        }
    }
}
