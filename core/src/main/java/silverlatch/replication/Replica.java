package silverlatch.replication;

/**
 * A controller that replicates the control state.
 *
 * @param id      its identity, made with its data folder and never used again after the folder is lost
 * @param address where it listens; a replica with another identity may follow at the same address
 */
public record Replica(String id, String address) {}
