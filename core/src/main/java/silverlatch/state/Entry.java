package silverlatch.state;

import java.util.List;

/** One entry of the books: its key, the sequence that last wrote it, and what it holds; nothing when it is gone. */
public record Entry(String key, long sequence, List<Value> value) {
    /** At most one leaf. */
    public Entry {
        value = List.copyOf(value);
        if (value.size() > 1) {
            throw new IllegalArgumentException("one leaf at most");
        }
    }

    /** Whether the entry was taken away. */
    public boolean isDeleted() {
        return value.isEmpty();
    }

    /** About how many bytes the entry takes in a frame. */
    public long estimatedBytes() {
        return 96
                + key.length()
                + value.stream()
                        .mapToLong(l -> switch (l) {
                            case Value.ConfigurationDocument p -> 2L * p.text().length();
                            case Value.Route r ->
                                128
                                        + r.name().length()
                                        + r.host().length()
                                        + r.pathPrefix().length()
                                        + 32L * r.homeRegions().size()
                                        + 48L * r.backends().size();
                            case Value.Schedule k -> 96L * (1 + k.cells().size());
                            case Value.CommandOutcome d ->
                                32
                                        + d.faults().stream()
                                                .mapToLong(String::length)
                                                .sum();
                            case Value.Tenant t -> 160 + 32L * t.homeRegions().size();
                            default -> 160;
                        })
                        .sum();
    }

    /** Whether the entry is part of what the data plane follows. */
    public boolean isPolicy() {
        return key.startsWith("t/")
                || key.startsWith("r/")
                || key.startsWith("z/")
                || key.startsWith("u/")
                || key.startsWith("b/")
                || key.startsWith("p/");
    }
}
