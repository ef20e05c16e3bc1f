package silverlatch.replication;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import silverlatch.clock.Stamp;
import silverlatch.state.ConfigurationValidator;
import silverlatch.state.Entry;
import silverlatch.state.Value;
import silverlatch.wire.Codec;
import silverlatch.wire.ReplicationMessage;

/** Guards against configurations that fit the limits of the validator but not a frame. */
final class LogEntryTest {
    @Test
    void aConfigurationOfTheMaximumSizeFitsAFrame() {
        final List<Entry> puts = new ArrayList<>();
        for (int i = 0; i < ConfigurationValidator.MAX_ROUTES; i++) {
            final Value.Route route = new Value.Route(
                    "rule of route number " + i,
                    "service-" + i + ".example",
                    "/some/longer/path/",
                    true,
                    true,
                    false,
                    true,
                    30_000_000,
                    500_000,
                    20_000,
                    1,
                    3,
                    List.of("north", "south"),
                    List.of(new Value.WeightedBackend("warm", 3), new Value.WeightedBackend("spare", 1)));
            puts.add(new Entry(ConfigurationValidator.routeKey(route.host(), route.pathPrefix()), 1, List.of(route)));
        }
        puts.add(new Entry(
                ConfigurationValidator.DOCUMENT_KEY,
                1,
                List.of(new Value.ConfigurationDocument(1, "x".repeat(ConfigurationValidator.MAX_DOCUMENT_BYTES)))));
        final LogEntry entry = new LogEntry(1, 1, new Stamp(1), puts);
        final int size = new Codec().encode(new ReplicationMessage.Replicate(1, List.of(entry))).length;
        assertThat(size, lessThan(Codec.MAX_BYTES));
        assertThat("the estimate is more than half of the encoded size", entry.estimatedBytes() * 2, greaterThan((long)
                size));
    }
}
