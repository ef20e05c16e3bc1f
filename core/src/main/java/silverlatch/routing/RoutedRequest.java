package silverlatch.routing;

import java.util.List;

/**
 * A request that came by host and path, as far as its routing needs to know it; the prompt itself stays outside.
 *
 * @param callId            the number of the client's HTTP call at this gateway
 * @param host              the host that it names, with or without a port
 * @param path              its path
 * @param requestId         the client's own id of this attempt
 * @param timeout           how long the client waits, in microseconds
 * @param promptParts       the parts of its prompt in order; the last is its own, the others may be shared with other prompts
 * @param promptTokens      how many tokens the prompt has
 * @param maxResponseTokens how many tokens the response may have
 * @param credential        what it says of who sends it
 */
public record RoutedRequest(
        long callId,
        String host,
        String path,
        String requestId,
        long timeout,
        List<PromptPart> promptParts,
        int promptTokens,
        int maxResponseTokens,
        Credential credential) {
    /** Copies the parts. */
    public RoutedRequest {
        promptParts = List.copyOf(promptParts);
    }

    /** A request that names no key. */
    public RoutedRequest(
            final long callId,
            final String host,
            final String path,
            final String requestId,
            final long timeout,
            final List<PromptPart> promptParts,
            final int promptTokens,
            final int maxResponseTokens) {
        this(
                callId,
                host,
                path,
                requestId,
                timeout,
                promptParts,
                promptTokens,
                maxResponseTokens,
                new Credential.None());
    }

    /** How many tokens its prompt and its response may have together. */
    int tokens() {
        return promptTokens + maxResponseTokens;
    }

    /**
     * A part of a prompt.
     *
     * @param digest names the prompt from its start to the end of this part
     * @param tokens how many tokens the part has
     */
    public record PromptPart(long digest, int tokens) {}
}
