package silverlatch.quay;

/** A disk machine of the chain: the identity made with its data folder, and where it listens. */
public record Berth(String id, String address) {
}
