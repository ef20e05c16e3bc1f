package silverlatch.replication;

/** A disk machine of the chain: the identity made with its data folder, and where it listens. */
public record Replica(String id, String address) {}
