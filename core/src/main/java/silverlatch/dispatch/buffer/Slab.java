package silverlatch.dispatch.buffer;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import silverlatch.util.Lists;

/**
 * A bounded slab with generations: an element is found by a handle that holds its slot and the slot's generation, so that
 * the handle of a removed element never finds the one that came into its slot. Handles are positive. Not thread-safe.
 */
public final class Slab<T> {
    private static final int INDEX_BITS = 24;
    private final int capacity;
    private final List<Optional<T>> slots = new ArrayList<>();
    private final List<Long> generations = new ArrayList<>();
    private final List<Integer> freeSlots = new ArrayList<>();
    private int used;

    /**
     * An empty slab.
     *
     * @throws IllegalArgumentException if the capacity is less than 1, or 2^24 or more
     */
    public Slab(final int capacity) {
        if (capacity < 1 || capacity >= 1 << INDEX_BITS) {
            throw new IllegalArgumentException("a slab has 1 to " + (1 << INDEX_BITS) + " places");
        }
        this.capacity = capacity;
    }

    /** Adds an element and gives its handle, or nothing when the slab is full. */
    public Optional<Long> insert(final T element) {
        if (used == capacity) {
            return Optional.empty();
        }
        used++;
        final int slot;
        if (freeSlots.isEmpty()) {
            slot = slots.size();
            slots.add(Optional.of(element));
            generations.add(1L);
        } else {
            slot = Lists.removeLast(freeSlots);
            slots.set(slot, Optional.of(element));
            generations.set(slot, generations.get(slot) + 1);
        }
        return Optional.of(generations.get(slot) << INDEX_BITS | slot);
    }

    /** The element of a handle, unless it was removed. */
    public Optional<T> get(final long handle) {
        final int slot = slotOf(handle);
        return handle > 0 && slot < slots.size() && generations.get(slot) == handle >> INDEX_BITS
                ? slots.get(slot)
                : Optional.empty();
    }

    /** Removes and gives the element of a handle, unless it was removed before. */
    public Optional<T> remove(final long handle) {
        final Optional<T> removed = get(handle);
        if (removed.isPresent()) {
            final int slot = slotOf(handle);
            slots.set(slot, Optional.empty());
            freeSlots.add(slot);
            used--;
        }
        return removed;
    }

    private static int slotOf(final long handle) {
        return (int) (handle & (1 << INDEX_BITS) - 1);
    }

    /** How many elements there are. */
    public int used() {
        return used;
    }

    /** How many elements there can be. */
    public int capacity() {
        return capacity;
    }
}
