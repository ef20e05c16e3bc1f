package silverlatch.dispatch.buffer;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import silverlatch.util.Lists;

/** A bounded slab: things are kept at a place, and found by a number that also tells a reused place apart. */
public final class Slab<T> {
    private static final int INDEX_BITS = 24;
    private final int capacity;
    private final List<Optional<T>> slots = new ArrayList<>();
    private final List<Long> generations = new ArrayList<>();
    private final List<Integer> freeSlots = new ArrayList<>();
    private int used;

    /** A slab for so many things. */
    public Slab(final int capacity) {
        if (capacity < 1 || capacity >= 1 << INDEX_BITS) {
            throw new IllegalArgumentException("a slab has 1 to " + (1 << INDEX_BITS) + " places");
        }
        this.capacity = capacity;
    }

    /** Keeps a thing and gives its number, or nothing when the slab is full. */
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

    /** The thing of a number, if it is still the one. */
    public Optional<T> get(final long handle) {
        final int slot = (int) (handle & (1 << INDEX_BITS) - 1);
        return handle > 0 && slot < slots.size() && generations.get(slot) == handle >> INDEX_BITS
                ? slots.get(slot)
                : Optional.empty();
    }

    /** Lets a thing go. */
    public Optional<T> remove(final long handle) {
        final Optional<T> removed = get(handle);
        if (removed.isPresent()) {
            final int slot = (int) (handle & (1 << INDEX_BITS) - 1);
            slots.set(slot, Optional.empty());
            freeSlots.add(slot);
            used--;
        }
        return removed;
    }

    /** How many are kept. */
    public int used() {
        return used;
    }

    /** How many can be kept. */
    public int capacity() {
        return capacity;
    }
}
