package silverlatch.wire;

import com.esotericsoftware.kryo.Kryo;
import com.esotericsoftware.kryo.KryoException;
import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import com.esotericsoftware.kryo.serializers.ImmutableSerializer;
import java.lang.reflect.Constructor;
import java.lang.reflect.Method;
import java.lang.reflect.RecordComponent;
import java.util.Arrays;
import java.util.List;

/**
 * Serializes the components of a record in a fixed order that doesn't depend on their names. Kryo's own record serializer
 * writes them in alphabetical order, so renaming a component would change the format.
 *
 * <p>A component of a primitive or final type is written without its type, any other is preceded by its type number. The
 * accessors and the constructor are resolved on first use, which shortens process startup. Not thread-safe.
 */
final class RecordSerializer<T extends Record> extends ImmutableSerializer<T> {
    private final Class<T> type;
    private final int[] order;
    private Class<?>[] componentTypes;
    private Method[] accessors;
    private Constructor<T> constructor;

    /**
     * Creates a serializer.
     *
     * @param type the record type
     * @param order the positions of its components, in the order in which they are written
     */
    RecordSerializer(final Class<T> type, final List<Integer> order) {
        this.type = type;
        this.order = order.stream().mapToInt(Integer::intValue).toArray();
    }

    @Override
    public void write(final Kryo kryo, final Output output, final T value) {
        resolveAccessors();
        for (final int position : order) {
            final Object component = component(position, value);
            final Class<?> componentType = componentTypes[position];
            if (componentType.isPrimitive()) {
                kryo.writeObject(output, component);
            } else if (kryo.isFinal(componentType)) {
                kryo.writeObjectOrNull(output, component, componentType);
            } else {
                kryo.writeClassAndObject(output, component);
            }
        }
    }

    @Override
    public T read(final Kryo kryo, final Input input, final Class<? extends T> readType) {
        resolveAccessors();
        final Object[] components = new Object[order.length];
        for (final int position : order) {
            final Class<?> componentType = componentTypes[position];
            if (componentType.isPrimitive()) {
                components[position] = kryo.readObject(input, componentType);
            } else if (kryo.isFinal(componentType)) {
                components[position] = kryo.readObjectOrNull(input, componentType);
            } else {
                components[position] = kryo.readClassAndObject(input);
            }
        }
        return construct(components);
    }

    private Object component(final int position, final T value) {
        try {
            return accessors[position].invoke(value);
        } catch (final ReflectiveOperationException failure) {
            throw new KryoException("component " + position + " of " + type.getName() + " can't be read", failure);
        }
    }

    private T construct(final Object[] components) {
        try {
            return constructor.newInstance(components);
        } catch (final ReflectiveOperationException failure) {
            throw new KryoException(
                    "a " + type.getName() + " can't be constructed from the decoded components", failure);
        }
    }

    private void resolveAccessors() {
        if (constructor != null) {
            return;
        }
        final RecordComponent[] components = type.getRecordComponents();
        if (components.length != order.length) {
            throw new KryoException(type.getName() + " has " + components.length
                    + " components, but its wire type lists " + order.length);
        }
        componentTypes = Arrays.stream(components).map(RecordComponent::getType).toArray(Class<?>[]::new);
        accessors = Arrays.stream(components).map(RecordComponent::getAccessor).toArray(Method[]::new);
        Arrays.stream(accessors).forEach(accessor -> accessor.setAccessible(true));
        try {
            constructor = type.getDeclaredConstructor(componentTypes);
            constructor.setAccessible(true);
        } catch (final NoSuchMethodException missing) {
            throw new KryoException(type.getName() + " has no canonical constructor", missing);
        }
    }
}
