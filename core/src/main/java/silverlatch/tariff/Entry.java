package silverlatch.tariff;

import java.util.List;

/** One entry of the books: its key, the sequence that last wrote it, and what it holds; nothing when it is gone. */
public record Entry(String key, long sequence, List<Leaf> leaf) {
    /** At most one leaf. */
    public Entry {
        leaf = List.copyOf(leaf);
        if (leaf.size() > 1) {
            throw new IllegalArgumentException("one leaf at most");
        }
    }

    /** Whether the entry was taken away. */
    public boolean gone() {
        return leaf.isEmpty();
    }

    /** Whether the entry is part of what the data plane follows. */
    public boolean policy() {
        return key.startsWith("t/") || key.startsWith("r/") || key.startsWith("z/")
                || key.startsWith("u/") || key.startsWith("b/") || key.startsWith("p/");
    }
}
