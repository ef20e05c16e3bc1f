package silverlatch.server.tool;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import silverlatch.json.JsonDocument;

/**
 * A request to the HTTP API of a controller or gateway.
 *
 * @param body             the JSON body in UTF-8, if any
 * @param expectedRevision the value of If-Match if the command's arguments contain one; else the client sends the value of the
 *                         flag {@code --match}
 */
record ApiRequest(String method, String path, Optional<byte[]> body, Optional<String> expectedRevision) {
    private static final String READ_METHOD = "GET";

    static ApiRequest get(final String path) {
        return new ApiRequest(READ_METHOD, path, Optional.empty(), Optional.empty());
    }

    static ApiRequest delete(final String path) {
        return new ApiRequest("DELETE", path, Optional.empty(), Optional.empty());
    }

    static ApiRequest put(final String path, final byte[] json) {
        return new ApiRequest("PUT", path, Optional.of(json), Optional.empty());
    }

    static ApiRequest put(final String path, final Map<String, ?> json) {
        return put(path, encode(json));
    }

    static ApiRequest patch(final String path, final Map<String, ?> json) {
        return new ApiRequest("PATCH", path, Optional.of(encode(json)), Optional.empty());
    }

    /** Returns a copy of the request that is sent with this revision as If-Match. */
    ApiRequest withExpectedRevision(final String revision) {
        return new ApiRequest(method, path, body, Optional.of(revision));
    }

    /** Returns whether the request only reads, so that it may safely be sent to several endpoints. */
    boolean isRead() {
        return method.equals(READ_METHOD);
    }

    private static byte[] encode(final Map<String, ?> json) {
        return JsonDocument.write(json).getBytes(StandardCharsets.UTF_8);
    }
}
