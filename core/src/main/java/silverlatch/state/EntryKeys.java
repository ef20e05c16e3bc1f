package silverlatch.state;

/**
 * Keys and key prefixes of entries, by what the entry holds. Keys are stored in data directories, sent between
 * processes and part of the range digests, so none may change. The keys of routing configurations are in {@link
 * ConfigurationValidator}, those of accepted configurations in {@link AcceptedConfigurations}.
 */
final class EntryKeys {
    /** Prefix for tenants; the name follows. */
    static final String TENANTS = "t/";
    /** Prefix for rows of the table; tenant and request kind follow. */
    static final String ROWS = "r/";
    /** Prefix for evacuations; the zone follows. */
    static final String EVACUATIONS = "z/";
    /** Prefix for schedules; the name follows. */
    static final String SCHEDULES = "k/";
    /** Prefix for claims; the client's idempotency key follows. */
    static final String CLAIMS = "c/";
    /** Prefix for outcomes of commands; the command's id follows. */
    static final String OUTCOMES = "o/";
    /** Key of the epoch. */
    static final String EPOCH = "h/glass";
    /** Prefix for tenants of the routing configuration; the name follows. */
    static final String TENANT_ACCESS = "n/";
    /** Prefix for public routes of the routing configuration; host and path follow. */
    static final String PUBLIC_ROUTES = "v/";
    /** Key of the setting whether requests need keys, part of the routing configuration in force. */
    static final String ACCESS_CONTROL = "p/access";
    /** Prefix for limits on the number of workers; the pool follows. */
    static final String POOL_SCALINGS = "s/";
    /** Prefix for closed usage windows; the number follows in decimal with leading zeros. */
    static final String USAGE_WINDOWS = "w/";
    /** Key of the newest usage window that has been reported to the provider. */
    static final String USAGE_REPORTED = "m/usage-reported";
    /** Prefix for the routing configuration in force, without its routes and pools. */
    static final String CONFIGURATION_PREFIX = "p/";

    private EntryKeys() {}
}
