package silverlatch.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import silverlatch.dispatch.ClusterSnapshot;
import silverlatch.state.Entry;
import silverlatch.state.Policy;
import silverlatch.state.Value;

/**
 * Guards against serving a request for the wrong tenant or with a revoked key, and against permanently rejecting a key
 * that a newer configuration contains: decisions by key, route and age of the configuration.
 */
final class AuthenticatorTest {
    private static final long SECOND = 1_000_000;
    private static final long NOW = 100 * SECOND;
    private static final long TIMEOUT = 6 * SECOND;
    private static final Value.Route KEYED = RouterFixture.route("keyed", "/keyed/", true, false, 2, List.of());
    private static final Value.Route PUBLIC = RouterFixture.route("public", "/public/", true, false, 2, List.of());
    private static final Value.TenantAccess ACME = new Value.TenantAccess("acme", List.of("d1", "d2"), 3, List.of());
    private static final List<Credential> WITHOUT_KNOWN_KEY =
            List.of(new Credential.None(), new Credential.Invalid(), new Credential.Key("unknown"));

    private final List<Entry> entries = new ArrayList<>(List.of(
            entry("p/access", new Value.AccessControl(true)),
            entry("n/acme", ACME),
            entry("v/A|/public/", new Value.PublicRoute("A", "/public/"))));
    private long revocationDeadline;
    private Optional<Long> confirmedAt = Optional.of(NOW);

    private static Entry entry(final String key, final Value value) {
        return new Entry(key, 1, List.of(value));
    }

    private Authenticator.Decision decide(final Credential credential, final Value.Route route) {
        final Policy policy = Policy.of(entries);
        return new Authenticator(new RevocationLease(revocationDeadline), new SplittableRandom(1))
                .decide(
                        new RoutedRequest(1, "a", "/", "t", TIMEOUT, List.of(), 1, 1, credential),
                        route,
                        new AccessTable(policy),
                        new ClusterSnapshot(RouterFixture.gateway("me"), 1, confirmedAt, policy, Map.of(), List.of()),
                        NOW);
    }

    private static int status(final Authenticator.Decision decision) {
        return decision instanceof Authenticator.Decision.Rejected rejected ? rejected.statusCode() : 200;
    }

    private static void assertUnavailable(final Authenticator.Decision decision) {
        assertThat(status(decision), is(503));
        assertThat(
                ((Authenticator.Decision.Rejected) decision).retryAfter(),
                is(both(greaterThanOrEqualTo(TIMEOUT / 6)).and(lessThanOrEqualTo(TIMEOUT / 3))));
    }

    private static Authenticator.Decision allowed(final Optional<Value.TenantAccess> tenant) {
        return new Authenticator.Decision.Allowed(tenant);
    }

    @Test
    void aKnownKeyIdentifiesItsTenantOnAllRoutes() {
        for (final Value.Route route : List.of(KEYED, PUBLIC)) {
            assertThat(decide(new Credential.Key("d1"), route), is(allowed(Optional.of(ACME))));
            assertThat(decide(new Credential.Key("d2"), route), is(allowed(Optional.of(ACME))));
        }
    }

    @Test
    void aRequestWithoutAKeyRunsOnPublicRoutesOnlyAndOneWithAnUnknownKeyNowhere() {
        for (final Credential credential : WITHOUT_KNOWN_KEY) {
            assertThat(status(decide(credential, KEYED)), is(401));
            final boolean isKey = credential instanceof Credential.Key;
            assertThat(status(decide(credential, PUBLIC)), is(isKey ? 401 : 200));
        }
    }

    @Test
    void noKeyIsNeededIfTheConfigurationHasNoTenants() {
        entries.clear();
        for (final long deadline : new long[] {0, SECOND}) {
            revocationDeadline = deadline;
            for (final Credential credential : WITHOUT_KNOWN_KEY) {
                assertThat(decide(credential, KEYED), is(allowed(Optional.empty())));
            }
        }
        revocationDeadline = 0;
        confirmedAt = Optional.empty();
        WITHOUT_KNOWN_KEY.forEach(credential -> assertThat(decide(credential, KEYED), is(allowed(Optional.empty()))));
    }

    /** A newer configuration may have assigned the key to a tenant, and a later one may have revoked it. */
    @Test
    void keysAreNotIgnoredByAConfigurationThatRequiresNoneWhenTheRevocationLeaseHasExpired() {
        entries.set(0, entry("p/access", new Value.AccessControl(false)));
        revocationDeadline = 5 * SECOND;
        confirmedAt = Optional.of(NOW - 5 * SECOND);
        assertUnavailable(decide(new Credential.Key("d1"), KEYED));
        assertUnavailable(decide(new Credential.Invalid(), KEYED));
        assertThat(decide(new Credential.None(), KEYED), is(allowed(Optional.empty())));
        confirmedAt = Optional.of(NOW - SECOND);
        assertThat(decide(new Credential.Key("d1"), KEYED), is(allowed(Optional.empty())));
    }

    /** A newer configuration may have introduced tenants, and this key of one of them may have been revoked since. */
    @Test
    void aKeyIsNotAcceptedByAnOldConfigurationWithoutTenantsWhenTheRevocationLeaseHasExpired() {
        entries.clear();
        revocationDeadline = 5 * SECOND;
        confirmedAt = Optional.of(NOW - 5 * SECOND);
        assertUnavailable(decide(new Credential.Key("d1"), KEYED));
    }

    @Test
    void keysAreNeededEvenIfTheListOfTenantsIsEmpty() {
        entries.removeIf(entry -> entry.key().equals("n/acme"));
        assertThat(status(decide(new Credential.Key("d1"), KEYED)), is(401));
    }

    @Test
    void noKeyIsAcceptedWhenTheRevocationLeaseHasExpired() {
        revocationDeadline = 5 * SECOND;
        confirmedAt = Optional.of(NOW - 5 * SECOND);
        assertUnavailable(decide(new Credential.Key("d1"), KEYED));
        assertUnavailable(decide(new Credential.Key("d1"), PUBLIC));
        WITHOUT_KNOWN_KEY.forEach(credential -> assertUnavailable(decide(credential, KEYED)));
        assertPublicRoutesServeRequestsWithoutKeysOnly();
    }

    private void assertPublicRoutesServeRequestsWithoutKeysOnly() {
        assertThat(decide(new Credential.None(), PUBLIC), is(allowed(Optional.empty())));
        assertThat(decide(new Credential.Invalid(), PUBLIC), is(allowed(Optional.empty())));
        assertUnavailable(decide(new Credential.Key("unknown"), PUBLIC));
    }

    @Test
    void aKeyThatANewerConfigurationMayContainIsNotRejectedPermanently() {
        for (final Optional<Long> confirmation : List.of(Optional.<Long>empty(), Optional.of(NOW - 3 * SECOND))) {
            confirmedAt = confirmation;
            WITHOUT_KNOWN_KEY.forEach(credential -> assertUnavailable(decide(credential, KEYED)));
            assertPublicRoutesServeRequestsWithoutKeysOnly();
            assertThat(decide(new Credential.Key("d1"), KEYED), is(allowed(Optional.of(ACME))));
        }
    }

    @Test
    void retryDelaysAreRandom() {
        confirmedAt = Optional.empty();
        final Authenticator authenticator = new Authenticator(new RevocationLease(0), new SplittableRandom(1));
        final Policy policy = Policy.of(entries);
        final ClusterSnapshot snapshot =
                new ClusterSnapshot(RouterFixture.gateway("me"), 1, confirmedAt, policy, Map.of(), List.of());
        final RoutedRequest request = new RoutedRequest(1, "a", "/", "t", SECOND, List.of(), 1, 1);
        final AccessTable table = new AccessTable(policy);
        assertThat(
                authenticator.decide(request, KEYED, table, snapshot, NOW),
                is(not(authenticator.decide(request, KEYED, table, snapshot, NOW))));
    }

    @Test
    void theTextOfARequestDoesNotContainItsKeyDigest() {
        final RoutedRequest request =
                new RoutedRequest(1, "a", "/", "t", SECOND, List.of(), 1, 1, new Credential.Key("d1"));
        assertThat(request.toString(), not(containsString("d1")));
        assertThat(decide(new Credential.Key("d9"), KEYED), is(instanceOf(Authenticator.Decision.Rejected.class)));
    }
}
