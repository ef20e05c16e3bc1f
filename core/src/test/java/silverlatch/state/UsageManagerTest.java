package silverlatch.state;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/**
 * Guards against reporting different usage for the same window: closed windows must keep their counts, and the newest
 * reported window must never decrease, whichever process closes or reports.
 */
final class UsageManagerTest {
    private final CommandExecutor executor = new CommandExecutor();

    private static Value.UsageWindow window(final long number, final long requests) {
        return new Value.UsageWindow(number, List.of(new Value.TenantCount("acme", requests)));
    }

    private Evaluation close(final long number, final long requests) {
        return executor.execute(new Command.CloseUsageWindow("usage-" + number, 3, window(number, requests)));
    }

    private void mark(final long number) {
        executor.execute(new Command.MarkUsageReported("usage-reported-" + number, 3, number));
    }

    @Test
    void countsOfTheFirstCloseAreFinal() {
        close(7, 100);
        assertThat(close(7, 101), is(new Evaluation.Reply(new CommandResult.Applied(1))));
        assertThat(UsageState.firstClosedAfter(executor.state(), 6), is(Optional.of(window(7, 100))));
    }

    @Test
    void closedWindowsAreReadInTheOrderOfTheirNumbers() {
        assertThat(UsageState.newestClosed(executor.state()), is(OptionalLong.empty()));
        close(9, 1);
        close(10, 2);
        close(100, 3);
        assertThat(UsageState.newestClosed(executor.state()), is(OptionalLong.of(100)));
        assertThat(UsageState.firstClosedAfter(executor.state(), 9), is(Optional.of(window(10, 2))));
        assertThat(UsageState.firstClosedAfter(executor.state(), 100), is(Optional.empty()));
    }

    @Test
    void evictedWindowCannotBeClosedAgainWithOtherCounts() {
        for (int number = 1; number <= UsageManager.MAX_RETAINED + 1; number++) {
            close(number, number);
        }
        assertThat(UsageState.firstClosedAfter(executor.state(), 0), is(Optional.of(window(2, 2))));
        assertThat(((Evaluation.Reply) close(1, 50)).result(), instanceOf(CommandResult.Rejected.class));
    }

    @Test
    void newestReportedWindowNeverDecreases() {
        assertThat(UsageState.reportedUpTo(executor.state()), is(-1L));
        mark(8);
        mark(7);
        assertThat(UsageState.reportedUpTo(executor.state()), is(8L));
    }

    @Test
    void usageEntriesSurviveAConfigurationChangeAndAreNotPolicy() {
        mark(8);
        close(9, 1);
        assertThat(executor.state().policyRevision(), is(0L));
        executor.execute(new Command.PutConfiguration(
                "configuration", new Value.RoutingConfiguration(1, 1, 1, 1, 1), List.of(), List.of(), "{}", 0));
        assertThat(UsageState.reportedUpTo(executor.state()), is(8L));
        assertThat(UsageState.newestClosed(executor.state()), is(OptionalLong.of(9)));
    }

    @Test
    void noKeyOrPrefixIsAPrefixOfAnother() {
        final List<String> prefixes = List.of(
                EntryKeys.TENANTS,
                EntryKeys.ROWS,
                EntryKeys.EVACUATIONS,
                EntryKeys.SCHEDULES,
                EntryKeys.CLAIMS,
                EntryKeys.OUTCOMES,
                EntryKeys.EPOCH,
                EntryKeys.TENANT_ACCESS,
                EntryKeys.PUBLIC_ROUTES,
                EntryKeys.POOL_SCALINGS,
                EntryKeys.USAGE_WINDOWS,
                EntryKeys.USAGE_REPORTED,
                EntryKeys.ACCESS_CONTROL,
                AcceptedConfigurations.KEY_PREFIX,
                ConfigurationValidator.CONFIGURATION_KEY,
                ConfigurationValidator.DOCUMENT_KEY,
                ConfigurationValidator.ROUTE_PREFIX,
                ConfigurationValidator.POOL_PREFIX);
        for (final String prefix : prefixes) {
            assertThat(
                    prefix,
                    prefixes.stream().filter(key -> key.startsWith(prefix)).toList(),
                    is(List.of(prefix)));
        }
    }
}
