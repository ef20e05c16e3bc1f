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
    public static final int MOST = 16 << 20;

    private static final int DEPTH = 24;
    private static final int LOG_PARTS = 50;
    private static final int LOG_RECORDS = 100;
    private static final int LOG_VALUES = 200;

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
                LOG_PARTS,
                List.of(
                        Stamp.class,
                        Entry.class,
                        LogEntry.class,
                        Replica.class,
                        View.class,
                        Command.Cell.class,
                        Value.WeightedBackend.class));
        types.put(LOG_RECORDS, RECORD_TYPES);
        types.put(LOG_VALUES, VALUE_TYPES);
        return types;
    }

    private void registerBasics() {
        kryo.setRegistrationRequired(true);
        kryo.setReferences(false);
        kryo.setMaxDepth(DEPTH);
        final Texts texts = new Texts();
        final Lists lists = new Lists();
        kryo.register(String.class, texts);
        kryo.register(long[].class, new Longs());
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
    public byte[] write(final Object thing) {
        return write(thing, MOST);
    }

    /** The bytes of a thing that may be larger than a frame. */
    public byte[] write(final Object thing, final int most) {
        final Output out = new Output(512, most);
        kryo.writeClassAndObject(out, thing);
        return out.toBytes();
    }

    /** What the bytes say, or why they can't be read. */
    public <T> Read<T> read(final byte[] bytes, final Class<T> type) {
        try {
            final Input in = new Input(bytes);
            final Object thing = kryo.readClassAndObject(in);
            if (!type.isInstance(thing)) {
                return new Read.Bad<>("not a " + type.getSimpleName());
            }
            if (in.position() != bytes.length) {
                return new Read.Bad<>("bytes left over");
            }
            return new Read.Good<>(type.cast(thing));
        } catch (final KryoException
                | IllegalArgumentException
                | NullPointerException
                | IndexOutOfBoundsException
                | NegativeArraySizeException
                | ClassCastException
                | IllegalStateException e) {
            return new Read.Bad<>(e.getClass().getSimpleName());
        } finally {
            kryo.reset();
        }
    }

    /** What reading gave. */
    public sealed interface Read<T> {
        /** It was read. */
        record Good<T>(T thing) implements Read<T> {}

        /** It is not one of ours. */
        record Bad<T>(String why) implements Read<T> {}
    }

    private static int size(final Input in, final int each) {
        final int count = in.readInt();
        if (count < 0 || (long) count * each > in.limit() - in.position()) {
            throw new KryoException("size beyond the bytes at hand");
        }
        return count;
    }

    private static final class Texts extends Serializer<String> {
        Texts() {
            super(false, true);
        }

        @Override
        public void write(final Kryo kryo, final Output out, final String text) {
            final byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            out.writeInt(bytes.length);
            out.writeBytes(bytes);
        }

        @Override
        public String read(final Kryo kryo, final Input in, final Class<? extends String> type) {
            return new String(in.readBytes(size(in, 1)), StandardCharsets.UTF_8);
        }
    }

    private static final class Longs extends Serializer<long[]> {
        @Override
        public void write(final Kryo kryo, final Output out, final long[] list) {
            out.writeInt(list.length);
            out.writeLongs(list, 0, list.length);
        }

        @Override
        public long[] read(final Kryo kryo, final Input in, final Class<? extends long[]> type) {
            return in.readLongs(size(in, Long.BYTES));
        }
    }

    private static final class Lists extends Serializer<List<?>> {
        Lists() {
            super(false, true);
        }

        @Override
        public void write(final Kryo kryo, final Output out, final List<?> list) {
            out.writeInt(list.size());
            list.forEach(e -> kryo.writeClassAndObject(out, e));
        }

        @Override
        public List<?> read(final Kryo kryo, final Input in, final Class<? extends List<?>> type) {
            final int count = size(in, 1);
            final List<Object> list = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                list.add(kryo.readClassAndObject(in));
            }
            return List.copyOf(list);
        }
    }
}
