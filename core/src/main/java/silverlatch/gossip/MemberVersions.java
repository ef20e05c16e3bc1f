package silverlatch.gossip;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import silverlatch.membership.Member;
import silverlatch.membership.Membership;

/**
 * The versions of all members that a node knows, and digests of them, by which two nodes find out which versions one
 * of them lacks.
 */
final class MemberVersions {
    private static final long UNORDERED_HASH_FACTOR = 0x9E3779B97F4A7C15L;

    private final Membership membership;
    private VersionDigests digests = new VersionDigests();
    private long digestedVersion = -1;

    MemberVersions(final Membership membership) {
        this.membership = membership;
    }

    /** Returns the digests of the versions of all members. The caller must not change them. */
    VersionDigests digests() {
        if (digestedVersion != membership.version()) {
            digestedVersion = membership.version();
            digests = new VersionDigests();
            membership.all().forEach(m -> digests.add(versionOf(m)));
        }
        return digests;
    }

    /**
     * Returns the single digest that nodes exchange if workers announce themselves to any node. Its computation is
     * part of the wire format.
     */
    long membershipDigest() {
        return membership.all().stream().mapToLong(MemberVersions::memberHash).sum();
    }

    /** Returns the versions of the members whose ids are in the given ranges. */
    List<ReportVersion> versions(final long rangeBits) {
        return membership.all().stream()
                .filter(m -> VersionDigests.isInRanges(rangeBits, m.id()))
                .map(MemberVersions::versionOf)
                .toList();
    }

    /**
     * Returns the members in the given ranges that are newer here than at another node.
     *
     * @param known all versions that the other node holds in these ranges
     */
    List<Member> membersNewerThan(final long rangeBits, final List<ReportVersion> known) {
        final Map<String, ReportVersion> knownById = Versions.byId(known);
        return membership.all().stream()
                .filter(m -> VersionDigests.isInRanges(rangeBits, m.id()))
                .filter(m -> Optional.ofNullable(knownById.get(m.id()))
                        .map(version -> Versions.isNewer(versionOf(m), version))
                        .orElse(true))
                .toList();
    }

    /** Returns the ids of the members of which another node holds newer versions. */
    List<String> outdatedMembers(final List<ReportVersion> known) {
        return known.stream()
                .filter(version -> membership
                        .get(version.id())
                        .map(m -> Versions.isNewer(version, versionOf(m)))
                        .orElse(true))
                .map(ReportVersion::id)
                .toList();
    }

    private static ReportVersion versionOf(final Member member) {
        return new ReportVersion(member.id(), member.incarnation(), member.precedence());
    }

    private static long memberHash(final Member member) {
        return (member.id().hashCode() * 31L
                        + member.incarnation() * 17
                        + member.sequence() * 7
                        + member.state().hashCode())
                * UNORDERED_HASH_FACTOR;
    }
}
