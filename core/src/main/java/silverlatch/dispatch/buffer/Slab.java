package silverlatch.dispatch.buffer;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import silverlatch.util.Lists;

/** A bounded slab: things are kept at a place, and found by a number that also tells a reused place apart. */
public final class Slab<T> {
    private static final int SHIFT = 24;
    private final int size;
    private final List<Optional<T>> places = new ArrayList<>();
    private final List<Long> turns = new ArrayList<>();
    private final List<Integer> free = new ArrayList<>();
    private int used;

    /** A slab for so many things. */
    public Slab(final int size) {
        if (size < 1 || size >= 1 << SHIFT) {
            throw new IllegalArgumentException("a slab has 1 to " + (1 << SHIFT) + " places");
        }
        this.size = size;
    }

    /** Keeps a thing and gives its number, or nothing when the slab is full. */
    public Optional<Long> put(final T thing) {
        if (used == size) {
            return Optional.empty();
        }
        used++;
        final int place;
        if (free.isEmpty()) {
            place = places.size();
            places.add(Optional.of(thing));
            turns.add(1L);
        } else {
            place = Lists.removeLast(free);
            places.set(place, Optional.of(thing));
            turns.set(place, turns.get(place) + 1);
        }
        return Optional.of(turns.get(place) << SHIFT | place);
    }

    /** The thing of a number, if it is still the one. */
    public Optional<T> get(final long number) {
        final int place = (int) (number & (1 << SHIFT) - 1);
        return number > 0 && place < places.size() && turns.get(place) == number >> SHIFT
                ? places.get(place)
                : Optional.empty();
    }

    /** Lets a thing go. */
    public Optional<T> drop(final long number) {
        final Optional<T> old = get(number);
        if (old.isPresent()) {
            final int place = (int) (number & (1 << SHIFT) - 1);
            places.set(place, Optional.empty());
            free.add(place);
            used--;
        }
        return old;
    }

    /** How many are kept. */
    public int used() {
        return used;
    }

    /** How many can be kept. */
    public int size() {
        return size;
    }
}
