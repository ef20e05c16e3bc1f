package silverlatch.state;

import java.util.List;

/** One entry of the books: its key, the sequence that last wrote it, and what it holds; nothing when it is gone. */
public record Entry(String key, long sequence, List<Value> leaf) {
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

    /** About how many bytes the entry takes in a frame. */
    public long weight() {
        return 96
                + key.length()
                + leaf.stream()
                        .mapToLong(l -> switch (l) {
                            case Value.ConfigurationDocument p -> 2L * p.text().length();
                            case Value.Route r ->
                                128
                                        + r.name().length()
                                        + r.host().length()
                                        + r.path().length()
                                        + 32L * r.homes().size()
                                        + 48L * r.lots().size();
                            case Value.Schedule k -> 96L * (1 + k.cells().size());
                            case Value.CommandOutcome d ->
                                32
                                        + d.faults().stream()
                                                .mapToLong(String::length)
                                                .sum();
                            case Value.Tenant t -> 160 + 32L * t.homes().size();
                            default -> 160;
                        })
                        .sum();
    }

    /** Whether the entry is part of what the data plane follows. */
    public boolean policy() {
        return key.startsWith("t/")
                || key.startsWith("r/")
                || key.startsWith("z/")
                || key.startsWith("u/")
                || key.startsWith("b/")
                || key.startsWith("p/");
    }
}
