package silverlatch.gossip;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Compares versions of worker reports and members: by incarnation first, then by sequence within the incarnation. */
final class Versions {
    private Versions() {}

    /** Returns whether the first version is newer than the second. */
    static boolean isNewer(final ReportVersion first, final ReportVersion second) {
        return first.incarnation() != second.incarnation()
                ? first.incarnation() > second.incarnation()
                : first.sequence() > second.sequence();
    }

    /** Returns the versions as a map by id. */
    static Map<String, ReportVersion> byId(final List<ReportVersion> versions) {
        final Map<String, ReportVersion> byId = new HashMap<>();
        versions.forEach(version -> byId.put(version.id(), version));
        return byId;
    }
}
