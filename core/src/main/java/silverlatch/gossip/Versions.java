package silverlatch.gossip;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Comparison of the versions of reports and members: incarnations first, then sequences within an incarnation. */
final class Versions {
    private Versions() {}

    /** Returns whether the first version is newer than the second. */
    static boolean isNewer(final ReportVersion first, final ReportVersion second) {
        return first.incarnation() != second.incarnation()
                ? first.incarnation() > second.incarnation()
                : first.sequence() > second.sequence();
    }

    /** Returns the versions by the names that they are of. */
    static Map<String, ReportVersion> byId(final List<ReportVersion> versions) {
        final Map<String, ReportVersion> byId = new HashMap<>();
        versions.forEach(version -> byId.put(version.id(), version));
        return byId;
    }
}
