package silverlatch.dispatch;

import java.util.List;

/**
 * A ticket handed to its carrier.
 *
 * @param secret the tenant's key
 * @param permit the pick's permit
 * @param prefix digests of the prefix, shortest first
 * @param prompt what the worker is to read
 * @param span   how long the consumer waits, in microseconds
 */
public record Load(String secret, String permit, List<String> prefix, String prompt, long span) {
    /** Copies the prefix. */
    public Load {
        prefix = List.copyOf(prefix);
    }
}
