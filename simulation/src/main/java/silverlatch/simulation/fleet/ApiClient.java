package silverlatch.simulation.fleet;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.function.Consumer;

/** Calls the HTTP APIs of the processes of a fleet. */
final class ApiClient {
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration STREAM_TIMEOUT = Duration.ofMinutes(1);
    private final HttpClient httpClient =
            HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(1)).build();

    /** Sends a request with an API key and waits for the complete response, for up to 10 seconds. */
    HttpResponse<String> call(
            final String key, final String endpoint, final String method, final String path, final String body)
            throws IOException, InterruptedException {
        final HttpRequest request = request(key, endpoint, path)
                .timeout(CALL_TIMEOUT)
                .method(method, publisher(body))
                .build();
        return httpClient.send(request, HttpResponse.BodyHandlers.ofString());
    }

    /** Sends a POST request and passes each line of the response to a consumer as it arrives. */
    void streamLines(
            final String key, final String endpoint, final String path, final String body, final Consumer<String> line)
            throws IOException, InterruptedException {
        final HttpRequest request = request(key, endpoint, path)
                .timeout(STREAM_TIMEOUT)
                .POST(publisher(body))
                .build();
        httpClient.send(request, HttpResponse.BodyHandlers.ofLines()).body().forEach(line);
    }

    private static HttpRequest.Builder request(final String key, final String endpoint, final String path) {
        return HttpRequest.newBuilder(URI.create("http://" + endpoint + path))
                .header("Authorization", "Bearer " + key)
                .header("Content-Type", "application/json");
    }

    private static HttpRequest.BodyPublisher publisher(final String body) {
        return body.isEmpty() ? HttpRequest.BodyPublishers.noBody() : HttpRequest.BodyPublishers.ofString(body);
    }
}
