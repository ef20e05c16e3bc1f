package silverlatch.routing;

import java.util.List;

/**
 * A ticket that came by host and path, as far as its placement needs to know it; the prompt stays outside.
 *
 * @param callId  its number at the door
 * @param host   the host it names
 * @param path   its path
 * @param requestId the consumer's own id of this try
 * @param timeout   how long the consumer waits, in microseconds
 * @param promptParts  the parts of its prompt, in order; the last is its own
 * @param promptTokens     tokens of the prompt
 * @param maxResponseTokens    the most tokens of the reply
 */
public record RoutedRequest(
        long callId,
        String host,
        String path,
        String requestId,
        long timeout,
        List<PromptPart> promptParts,
        int promptTokens,
        int maxResponseTokens) {
    /** Copies the parts. */
    public RoutedRequest {
        promptParts = List.copyOf(promptParts);
    }

    /** A part of a prompt: its name as a number, and its tokens. */
    public record PromptPart(long digest, int tokens) {}
}
