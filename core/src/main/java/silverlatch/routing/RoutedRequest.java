package silverlatch.routing;

import java.util.List;

/**
 * The data of a request that is routed by host and path, as far as routing needs it; excludes the prompt text.
 *
 * @param callId            the id of the client's HTTP call at this gateway
 * @param host              the host that the request names, with or without a port
 * @param path              the path of the request
 * @param requestId         the id that the client assigned to this attempt
 * @param timeout           how long the client waits, in microseconds
 * @param promptParts       the parts of the prompt in order; the last is specific to this prompt, the others may be
 *                          shared with other prompts
 * @param promptTokens      the number of tokens of the prompt
 * @param maxResponseTokens the maximum number of tokens of the response
 * @param credential        the credential of the sender
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

    /** Creates a request without a key. */
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

    /** Returns the maximum number of tokens of prompt and response together. */
    int tokens() {
        return promptTokens + maxResponseTokens;
    }

    /**
     * A part of a prompt.
     *
     * @param digest the digest of the prompt from its start to the end of this part
     * @param tokens the number of tokens of this part
     */
    public record PromptPart(long digest, int tokens) {}
}
