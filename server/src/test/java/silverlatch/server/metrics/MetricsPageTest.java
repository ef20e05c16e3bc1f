package silverlatch.server.metrics;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards against metrics that appear in the wrong order or format, or without their deprecated name after they were renamed. */
final class MetricsPageTest {
    @Test
    void metricsArePrintedOnALineEachSortedByName() {
        final MetricsPage page = new MetricsPage();
        page.put("wire_dropped", 3);
        page.put("wire_bad", 2);
        assertThat(page.text(), is("silverlatch_wire_bad 2\nsilverlatch_wire_dropped 3\n"));
    }

    @Test
    void renamedMetricsHaveTheSameValueUnderTheirDeprecatedName() {
        final MetricsPage page = new MetricsPage();
        page.put("clock_waits", "tide_waits", 7);
        page.putAll("node_", "deck_", Map.of("frames", 5L));
        assertThat(
                page.text(),
                is("silverlatch_clock_waits 7\nsilverlatch_deck_frames 5\nsilverlatch_node_frames 5\n"
                        + "silverlatch_tide_waits 7\n"));
    }
}
