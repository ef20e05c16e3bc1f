package silverlatch.state;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;
import silverlatch.util.Digests;

/**
 * Validates the tenants of a routing configuration. Each needs a unique name, which is forwarded in a header. No key
 * may belong to two tenants, as the key identifies the tenant of a request. The faults contain neither keys nor their
 * digests.
 */
final class TenantAccessValidator {
    private static final int MAX_HOME_REGIONS = 64;
    private static final int MAX_REGION_LENGTH = 256;
    private static final Pattern NAME = Pattern.compile("[!-~]([ -~]{0,254}[!-~])?");
    private static final Pattern KEY_DIGEST = Pattern.compile("[0-9a-f]{64}");
    private static final String EMPTY_KEY_DIGEST = Digests.sha256Hex("");

    private final ValidationFaults faults;
    private final Set<String> names = new HashSet<>();
    private final Map<String, String> namesByKeyDigest = new HashMap<>();

    private TenantAccessValidator(final ValidationFaults faults) {
        this.faults = faults;
    }

    /** Adds the faults of tenants. Their number must have been checked before. */
    static void check(final List<Value.TenantAccess> tenants, final ValidationFaults faults) {
        final TenantAccessValidator validator = new TenantAccessValidator(faults);
        for (int i = 0; i < tenants.size() && !faults.isFull(); i++) {
            validator.check("$.tenants[" + i + "]", tenants.get(i));
        }
    }

    private void check(final String path, final Value.TenantAccess tenant) {
        if (!NAME.matcher(tenant.name()).matches()) {
            faults.add(path + ".name", "1 to 256 visible ASCII characters are needed, with spaces between them only");
        } else if (!names.add(tenant.name())) {
            faults.add(path + ".name", "a second tenant " + ValidationFaults.abbreviated(tenant.name()));
        }
        for (int i = 0; i < tenant.keyDigests().size() && !faults.isFull(); i++) {
            checkKey(path + ".keys[" + i + "]", tenant.keyDigests().get(i), tenant.name());
        }
        faults.checkAtLeast(path + ".rank", tenant.priority(), Value.TenantAccess.ROUTE_PRIORITY);
        checkRegions(path + ".homes", tenant.homeRegions());
    }

    /** Checks a key's digest. An empty key is a fault, since it would authenticate requests without a key. */
    private void checkKey(final String path, final String digest, final String tenant) {
        if (!KEY_DIGEST.matcher(digest).matches()) {
            faults.add(path, "64 hexadecimal digits are needed");
        } else if (digest.equals(EMPTY_KEY_DIGEST)) {
            faults.add(path, "an empty key");
        } else {
            final String firstTenant = namesByKeyDigest.putIfAbsent(digest, tenant);
            if (firstTenant != null && !firstTenant.equals(tenant)) {
                faults.add(path, "also a key of tenant '" + ValidationFaults.abbreviated(firstTenant) + "'");
            }
        }
    }

    private void checkRegions(final String path, final List<String> regions) {
        if (regions.size() > MAX_HOME_REGIONS) {
            faults.add(path, "at most " + MAX_HOME_REGIONS + ", not " + regions.size());
            return;
        }
        for (int i = 0; i < regions.size() && !faults.isFull(); i++) {
            faults.checkLength(path + "[" + i + "]", regions.get(i), MAX_REGION_LENGTH);
        }
    }
}
