package silverlatch.dispatch;

import java.util.List;

/**
 * A ticket handed to its carrier.
 *
 * @param secret the tenant's key
 * @param permit the pick's permit
 * @param prefixDigests digests of the prefix, shortest first
 * @param prompt what the worker is to read
 * @param timeout   how long the consumer waits, in microseconds
 */
public record SubmittedRequest(String secret, String permit, List<String> prefixDigests, String prompt, long timeout) {
    /** Copies the prefix. */
    public SubmittedRequest {
        prefixDigests = List.copyOf(prefixDigests);
    }
}
