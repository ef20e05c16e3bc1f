package silverlatch.dispatch.buffer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against finding the wrong element when a slot is reused after its element was removed. */
final class SlabTest {
    @Test
    void neverFindsANewElementByTheHandleOfARemovedOne() {
        final Slab<String> slab = new Slab<>(1);
        final long first = slab.insert("first").orElseThrow();
        assertThat(first, greaterThan(0L));
        assertThat(slab.remove(first), is(Optional.of("first")));
        final long second = slab.insert("second").orElseThrow();
        assertThat(second, not(first));
        assertThat(slab.get(first), is(Optional.empty()));
        assertThat(slab.remove(first), is(Optional.empty()));
        assertThat(slab.get(second), is(Optional.of("second")));
        assertThat(slab.used(), is(1));
    }

    @Test
    void rejectsInsertsWhenFullUntilAnElementIsRemoved() {
        final Slab<Integer> slab = new Slab<>(2);
        final long first = slab.insert(1).orElseThrow();
        slab.insert(2);
        assertThat(slab.insert(3), is(Optional.empty()));
        slab.remove(first);
        assertThat(slab.insert(3).isPresent(), is(true));
        assertThat(slab.used(), is(slab.capacity()));
    }

    @Test
    void returnsEmptyForUnknownHandles() {
        final Slab<Integer> slab = new Slab<>(2);
        slab.insert(1);
        for (final long handle : new long[] {0, -1, 1, Long.MAX_VALUE, Long.MIN_VALUE}) {
            assertThat(slab.get(handle), is(Optional.empty()));
        }
    }

    @Test
    void rejectsCapacitiesThatHandlesCannotEncode() {
        assertThrows(IllegalArgumentException.class, () -> new Slab<>(0));
        assertThrows(IllegalArgumentException.class, () -> new Slab<>(1 << 24));
    }
}
