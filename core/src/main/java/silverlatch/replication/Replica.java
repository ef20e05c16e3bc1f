package silverlatch.replication;

/**
 * A controller that replicates the control state.
 *
 * @param id      its identity, created together with its data directory and never reused after the directory is lost
 * @param address the address at which it listens; after a data loss, a replica with a new identity may listen at the same address
 */
public record Replica(String id, String address) {}
