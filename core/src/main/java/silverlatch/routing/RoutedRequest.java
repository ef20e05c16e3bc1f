package silverlatch.routing;

import java.util.List;

/**
 * A ticket that came by host and path, as far as its placement needs to know it; the prompt stays outside.
 *
 * @param token  its number at the door
 * @param host   the host it names
 * @param path   its path
 * @param ticket the consumer's own id of this try
 * @param left   how long the consumer waits, in microseconds
 * @param parts  the parts of its prompt, in order; the last is its own
 * @param in     tokens of the prompt
 * @param out    the most tokens of the reply
 */
public record RoutedRequest(
        long token, String host, String path, String ticket, long left, List<Part> parts, int in, int out) {
    /** Copies the parts. */
    public RoutedRequest {
        parts = List.copyOf(parts);
    }

    /** A part of a prompt: its name as a number, and its tokens. */
    public record Part(long name, int tokens) {}
}
