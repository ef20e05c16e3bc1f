package silverlatch.routing;

import java.util.Optional;
import java.util.random.RandomGenerator;
import silverlatch.dispatch.ClusterSnapshot;
import silverlatch.state.Value;

/**
 * Decides whether a request may run, and for which tenant.
 *
 * <p>A key is accepted by the configuration in force at this gateway, and only while the {@link RevocationLease} is
 * valid. An unknown key is rejected as unauthorized only if this configuration was recently confirmed as the newest,
 * since a newer one may contain the key. If the key can be neither accepted nor rejected, the client is told to retry
 * later. This also applies on public routes, as the worker would otherwise get the wrong tenant; a request without a key
 * is always served there.
 *
 * <p>A request is checked once, when it arrives, and this suffices for all of its attempts. Proof: let the
 * configuration in force here have been the newest one at time {@code c}. A configuration that revokes one of its keys
 * is acknowledged after {@code c}. The request arrives at time {@code a} and was sent before {@code a}. The lease is
 * valid at {@code a} only if {@code a} is less than the revocation deadline after {@code c}. So the request was sent
 * less than the deadline after the acknowledgement, whenever its attempts are made. A client that resumes a stream
 * sends a new request.
 *
 * <p>Keys are looked up by digest, so the lookup time reveals nothing about a key. Times are microseconds.
 */
final class Authenticator {
    private static final int UNAUTHORIZED = 401;
    private static final int UNAVAILABLE = 503;
    private static final long SECOND = 1_000_000L;
    private static final long MAX_CONFIRMATION_AGE = 2 * SECOND;

    /**
     * The longest delay that clients are told to wait before they retry. Clients make few further attempts, and the
     * connection to the controllers usually recovers within a second or two.
     */
    private static final long MAX_RETRY_AFTER = 3 * SECOND;

    /** A client is told to wait for at most this fraction (1/n) of its timeout; it wouldn't wait longer. */
    private static final int RETRY_AFTER_TIMEOUT_DIVISOR = 3;

    private final RevocationLease lease;
    private final RandomGenerator random;

    Authenticator(final RevocationLease lease, final RandomGenerator random) {
        this.lease = lease;
        this.random = random;
    }

    /** The decision on a request. */
    sealed interface Decision {
        /** The request may run: for the given tenant if it has a tenant's key, else for none. */
        record Allowed(Optional<Value.TenantAccess> tenant) implements Decision {}

        /**
         * The request must not run. The client may retry after the given time in microseconds; 0 means that it must not
         * retry.
         */
        record Rejected(int statusCode, long retryAfter, String reason) implements Decision {}
    }

    /** Decides on a request that arrives on a route now. The access table must be of the snapshot's revision. */
    Decision decide(
            final RoutedRequest request,
            final Value.Route route,
            final AccessTable table,
            final ClusterSnapshot snapshot,
            final long now) {
        if (!table.areKeysRequired()) {
            return decideWithoutTenants(request, snapshot, now);
        }
        final boolean hasKey = request.credential() instanceof Credential.Key;
        final Optional<Value.TenantAccess> tenant =
                request.credential() instanceof Credential.Key key ? table.tenant(key.digest()) : Optional.empty();
        final boolean isCertain = lease.isValid(snapshot, now)
                && (tenant.isPresent() || snapshot.isConfirmedWithin(now, MAX_CONFIRMATION_AGE));
        if (!hasKey && table.isPublic(route)) {
            return new Decision.Allowed(Optional.empty());
        }
        if (!isCertain) {
            return unavailable(request);
        }
        return tenant.isPresent()
                ? new Decision.Allowed(tenant)
                : new Decision.Rejected(UNAUTHORIZED, 0, "a tenant's key is needed");
    }

    /**
     * Decides where the configuration requires no keys. A newer configuration, unknown here, may require them and may
     * have revoked the request's key.
     */
    private Decision decideWithoutTenants(final RoutedRequest request, final ClusterSnapshot snapshot, final long now) {
        final boolean hasCredential = !(request.credential() instanceof Credential.None);
        return hasCredential && !lease.isValid(snapshot, now)
                ? unavailable(request)
                : new Decision.Allowed(Optional.empty());
    }

    private Decision unavailable(final RoutedRequest request) {
        final long longest = Math.min(request.timeout() / RETRY_AFTER_TIMEOUT_DIVISOR, MAX_RETRY_AFTER);
        final long retryAfter = longest / 2 + random.nextLong(longest / 2 + 1);
        return new Decision.Rejected(UNAVAILABLE, retryAfter, "keys can't be checked now");
    }
}
