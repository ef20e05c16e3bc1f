package silverlatch.simulation.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.is;

import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import silverlatch.simulation.check.Main;
import silverlatch.util.Lists;

/** Steps shared by the tests that run a fleet of processes. */
final class FleetSteps {
    private FleetSteps() {}

    /** Starts all processes, configures the tenants and the routing table, and waits until the processes are ready. */
    static void start(final Fleet fleet) throws Exception {
        fleet.startAll("controller");
        fleet.startAll("gateway");
        fleet.startAll("worker");
        assertThat("controllers", fleet.awaitReady("controller", 90), is(true));
        assertThat(fleet.loadTenantsAndTable(), everyItem(is(200)));
        assertThat("gateways", fleet.awaitReady("gateway", 90), is(true));
    }

    /** Asserts that every request of the load has ended, and that the receipts agree with the workers' records. */
    static void assertReceipts(final Fleet fleet, final Path receipts) throws Exception {
        assertThat(Files.readString(fleet.folder().resolve("consumer.out")), containsString("open 0"));
        final Main.CheckResult found = Main.check(
                receipts,
                Main.parseHomes(fleet.plan().homeArguments()),
                fleet.names("worker").stream()
                        .map(worker -> fleet.folder().resolve(worker + ".runs"))
                        .toList());
        assertThat(found.violations(), is(List.of()));
        assertThat("more than 50 runs", found.runs() > 50, is(true));
    }

    /** Calls an HTTP API. */
    interface ApiCall {
        HttpResponse<String> send() throws Exception;
    }

    /** Repeats a call for up to a minute until its response has a status and contains a text; fails with the last response. */
    static void assertAnswer(final Fleet fleet, final ApiCall call, final int code, final String text)
            throws Exception {
        final List<HttpResponse<String>> answers = new ArrayList<>();
        fleet.await(
                () -> {
                    try {
                        answers.add(call.send());
                        return Lists.last(answers).statusCode() == code
                                && Lists.last(answers).body().contains(text);
                    } catch (final Exception failure) {
                        return false;
                    }
                },
                60);
        assertThat(Lists.last(answers).body(), Lists.last(answers).statusCode(), is(code));
        assertThat(Lists.last(answers).body(), containsString(text));
    }
}
