package silverlatch.gossip;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import silverlatch.wire.Message;

/** Comparison of the versions of reports and members: incarnations first, then sequences within an incarnation. */
final class Versions {
    private Versions() {}

    /** Returns whether the first version is newer than the second. */
    static boolean isNewer(final Message.ReportVersion first, final Message.ReportVersion second) {
        return first.incarnation() != second.incarnation()
                ? first.incarnation() > second.incarnation()
                : first.sequence() > second.sequence();
    }

    /** Returns the versions by the names that they are of. */
    static Map<String, Message.ReportVersion> byId(final List<Message.ReportVersion> versions) {
        final Map<String, Message.ReportVersion> byId = new HashMap<>();
        versions.forEach(version -> byId.put(version.id(), version));
        return byId;
    }
}
