package silverlatch.server.tool;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import silverlatch.json.JsonDocument;

/**
 * A request to the HTTP API of a controller or gateway.
 *
 * @param body             JSON in UTF-8, or empty for none
 * @param expectedRevision the value of If-Match where the command's words name one, else that of the flag holds
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

    /** The same request, sent with this revision as If-Match. */
    ApiRequest withExpectedRevision(final String revision) {
        return new ApiRequest(method, path, body, Optional.of(revision));
    }

    /** Whether the request changes nothing, so that it may be sent to several endpoints. */
    boolean isRead() {
        return method.equals(READ_METHOD);
    }

    private static byte[] encode(final Map<String, ?> json) {
        return JsonDocument.write(json).getBytes(StandardCharsets.UTF_8);
    }
}
