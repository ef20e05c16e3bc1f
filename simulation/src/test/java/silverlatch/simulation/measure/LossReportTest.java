package silverlatch.simulation.measure;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Checks that the losses of a report add up to the lost score, and that an unexplained rest is shown as its own row. */
final class LossReportTest {
    private static final String REPORT = """
            {"G": %s,
             "parts": [["whole day", 0.7, 0.9], ["worst windows", 0.3, 0.5]],
             "prices": [["processor seconds", 90.0, 0.05], ["duties missed", 0.0, null]],
             "classes": [{"name": "ask", "n": 100, "in_aim": 90, "late": 7, "refused": 2, "failed": 1, "worth": 0.95}],
             "unserved_by": [["503", 2, []]]}
            """;

    private static Optional<LossReport> report(final String worth) {
        return LossReport.parse(REPORT.formatted(worth).getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void largestLossIsListedFirst() {
        assertThat(report("0.73").orElseThrow().losses().get(0).name(), is("not earned: worst windows"));
        assertThat(report("0.73").orElseThrow().losses().get(0).lost(), is(closeTo(0.15, 1e-9)));
    }

    @Test
    void unexplainedLossIsReported() {
        assertThat(report("0.73").orElseThrow().unexplained(), is(closeTo(0, 1e-9)));
        assertThat(report("0.70").orElseThrow().unexplained(), is(closeTo(0.03, 1e-9)));
    }

    @Test
    void allTablesArePrinted() {
        final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        report("0.73").orElseThrow().print(new PrintStream(bytes, true, StandardCharsets.UTF_8));
        final String text = bytes.toString(StandardCharsets.UTF_8);
        assertThat(text, containsString("-0.0500  price: processor seconds"));
        assertThat(text, containsString("ask                        7     2     1 of   100  0.950"));
        assertThat(text, containsString("2  503"));
    }

    @Test
    void otherContentIsNotParsedAsReport() {
        assertThat(LossReport.parse("{}".getBytes(StandardCharsets.UTF_8)).isPresent(), is(false));
        assertThat(LossReport.parse("[".getBytes(StandardCharsets.UTF_8)).isPresent(), is(false));
    }
}
