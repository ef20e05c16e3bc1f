package silverlatch.state;

/**
 * How the keys of entries begin, or are, by what the entry holds. Keys are stored in data folders, sent between
 * processes and part of the range digests: none may change. Those of a routing configuration are in
 * {@link ConfigurationValidator}, those of accepted configurations in {@link AcceptedConfigurations}.
 */
final class EntryKeys {
    /** Tenants, by name. */
    static final String TENANTS = "t/";
    /** Rows of the table, by tenant and kind. */
    static final String ROWS = "r/";
    /** Evacuations, by zone. */
    static final String EVACUATIONS = "z/";
    /** Schedules, by name. */
    static final String SCHEDULES = "k/";
    /** Claims, by the client's key. */
    static final String CLAIMS = "c/";
    /** Outcomes of commands, by the command's id. */
    static final String OUTCOMES = "o/";
    /** The epoch. */
    static final String EPOCH = "h/glass";
    /** Tenants of the routing configuration, by name. */
    static final String TENANT_ACCESS = "n/";
    /** Public routes of the routing configuration, by host and path. */
    static final String PUBLIC_ROUTES = "v/";
    /** Whether requests need keys, under the routing configuration in force. */
    static final String ACCESS_CONTROL = "p/access";
    /** Bounds on the number of workers, by pool. */
    static final String POOL_SCALINGS = "s/";
    /** Closed windows of usage, by number in decimal with leading zeros. */
    static final String USAGE_WINDOWS = "w/";
    /** Up to where usage was reported. */
    static final String USAGE_REPORTED = "m/usage-reported";
    /** The routing configuration in force, without its routes and pools. */
    static final String CONFIGURATION_PREFIX = "p/";

    private EntryKeys() {}
}
