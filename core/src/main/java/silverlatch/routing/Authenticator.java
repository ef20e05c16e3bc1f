package silverlatch.routing;

import java.util.Optional;
import java.util.random.RandomGenerator;
import silverlatch.dispatch.ClusterSnapshot;
import silverlatch.state.Value;

/**
 * Decides for whom a request runs, and whether it may.
 *
 * <p>A key is accepted by the configuration in force here, and only while {@link RevocationLease} holds. One that is unknown here counts
 * as unknown only where the configuration was confirmed as the newest lately, since a newer one may know it. Where neither is
 * certain the client is asked to come again, on public routes too, as a worker would be given the wrong tenant; without a key it is
 * served there in any case.
 *
 * <p>It is asked once a request, when the request arrives, and that suffices for each attempt that is made of it. Proof: let the
 * configuration in force here have been the newest at {@code c}. One that takes a key of it away is acknowledged after {@code c}. The
 * request arrives at {@code a} and was sent before; the lease holds at {@code a} only if {@code a} is less than the deadline after
 * {@code c}. So the request was sent less than the deadline after the acknowledgement, whenever its attempts are made. A client
 * that resumes a stream sends a new request.
 *
 * <p>Keys are looked up by their digests; how long that takes tells nothing of a key. Times are microseconds.
 */
final class Authenticator {
    private static final int UNAUTHORIZED = 401;
    private static final int UNAVAILABLE = 503;
    private static final long SECOND = 1_000_000L;
    private static final long MAX_CONFIRMATION_AGE = 2 * SECOND;

    /** Clients have few further tries, and touch is regained after a second or two: they are asked to wait as long as they heed. */
    private static final long MAX_RETRY_AFTER = 3 * SECOND;

    /** The part of the time that a client has left for which it waits at most when it is told to come back. */
    private static final int RETRY_AFTER_TIMEOUT_DIVISOR = 3;

    private final RevocationLease lease;
    private final RandomGenerator random;

    Authenticator(final RevocationLease lease, final RandomGenerator random) {
        this.lease = lease;
        this.random = random;
    }

    /** What is decided for a request. */
    sealed interface Decision {
        /** It may run, for the tenant where it brought the key of one. */
        record Allowed(Optional<Value.TenantAccess> tenant) implements Decision {}

        /** It doesn't run; the client may send it again after the time in microseconds, or not at all where that is 0. */
        record Rejected(int statusCode, long retryAfter, String reason) implements Decision {}
    }

    /** Decides for a request that arrives now on a route; the table is of the snapshot's revision. */
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

    /** A key that this configuration doesn't ask for may have been taken away by one that isn't known here. */
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
