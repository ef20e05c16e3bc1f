package silverlatch.simulation.explore;

import java.util.Arrays;

/** A thread-safe set of longs. It uses open addressing in shards, each of which has its own lock. */
final class LongHashSet {
    private static final int SHARDS = 64;
    private static final int INITIAL_CAPACITY = 1 << 10;
    private final Shard[] shards = new Shard[SHARDS];

    LongHashSet() {
        Arrays.setAll(shards, i -> new Shard());
    }

    /** Adds a value and returns whether it was absent before. The values 0 and 1 count as the same. */
    boolean add(final long value) {
        return shards[(int) (value >>> 58)].add(value == 0 ? 1 : value);
    }

    /** One hash table; 0 marks a free slot. */
    private static final class Shard {
        private long[] table = new long[INITIAL_CAPACITY];
        private int count;

        synchronized boolean add(final long value) {
            if (count * 2 > table.length) {
                grow();
            }
            final int slot = slot(table, value);
            if (table[slot] == value) {
                return false;
            }
            table[slot] = value;
            count++;
            return true;
        }

        private void grow() {
            final long[] next = new long[table.length * 2];
            for (final long value : table) {
                if (value != 0) {
                    next[slot(next, value)] = value;
                }
            }
            table = next;
        }

        private static int slot(final long[] table, final long value) {
            int slot = (int) value & table.length - 1;
            while (table[slot] != 0 && table[slot] != value) {
                slot = slot + 1 & table.length - 1;
            }
            return slot;
        }
    }
}
