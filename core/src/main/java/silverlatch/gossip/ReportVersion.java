package silverlatch.gossip;

/**
 * Which version of a worker's report, or of a member's entry, a daemon holds; compared in anti-entropy.
 *
 * @param id the name of the worker or member
 * @param incarnation its incarnation
 * @param sequence the version's rank within the incarnation
 */
public record ReportVersion(String id, long incarnation, long sequence) {}
