package silverlatch.gossip;

/**
 * The version of a worker report or a member entry that a node holds; compared in anti-entropy.
 *
 * @param id the id of the worker or member
 * @param incarnation its incarnation
 * @param sequence the rank of the version within the incarnation
 */
public record ReportVersion(String id, long incarnation, long sequence) {}
