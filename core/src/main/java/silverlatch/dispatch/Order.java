package silverlatch.dispatch;

import java.util.List;

/**
 * What a consumer asks a pick for: metadata only.
 *
 * @param secret the tenant's key as the consumer showed it
 * @param tenant whose ticket it is
 * @param kind   its kind
 * @param prefix digests of its prefix, shortest first
 * @param size   the prompt's size in bytes
 * @param key    the consumer's own key for once-only, or empty
 * @param tries  how many times it was tried before
 */
public record Order(String secret, String tenant, String kind, List<String> prefix, long size, String key, int tries) {
    /** Copies the prefix. */
    public Order {
        prefix = List.copyOf(prefix);
    }
}
