package silverlatch.dispatch.buffer;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import silverlatch.util.Lists;

/**
 * A bounded slab with generations. A handle combines the index of a slot with the generation of that slot, which grows each time
 * the slot is reused; so the handle of a removed element never finds a later element in the same slot. Handles are positive. Not
 * thread-safe.
 *
 * @param <T> the type of the elements
 */
public final class Slab<T> {
    private static final int INDEX_BITS = 24;
    private final int capacity;
    private final List<Optional<T>> slots = new ArrayList<>();
    private final List<Long> generations = new ArrayList<>();
    private final List<Integer> freeSlots = new ArrayList<>();
    private int used;

    /**
     * Creates an empty slab.
     *
     * @throws IllegalArgumentException if the capacity is less than 1, or 2^24 or more
     */
    public Slab(final int capacity) {
        if (capacity < 1 || capacity >= 1 << INDEX_BITS) {
            throw new IllegalArgumentException("slab capacity must be at least 1 and less than " + (1 << INDEX_BITS));
        }
        this.capacity = capacity;
    }

    /** Adds an element and returns its handle, or empty if the slab is full. */
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

    /** Returns the element of a handle, or empty if it was removed or the handle is unknown. */
    public Optional<T> get(final long handle) {
        final int slot = slotOf(handle);
        return handle > 0 && slot < slots.size() && generations.get(slot) == handle >> INDEX_BITS
                ? slots.get(slot)
                : Optional.empty();
    }

    /** Removes and returns the element of a handle, or returns empty if it was removed before or the handle is unknown. */
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

    /** Returns the number of elements. */
    public int used() {
        return used;
    }

    /** Returns the maximum number of elements. */
    public int capacity() {
        return capacity;
    }
}
