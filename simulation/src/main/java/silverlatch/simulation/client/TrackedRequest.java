package silverlatch.simulation.client;

import java.io.ByteArrayOutputStream;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.client.StringRequestContent;
import silverlatch.dispatch.StreamRecord;
import silverlatch.json.JsonDocument;
import silverlatch.server.eventloop.EventLoop;
import silverlatch.server.workerclient.StreamRecordDecoder;
import silverlatch.simulation.response.ResponseVerifier;
import silverlatch.util.Digests;

/** One request over HTTP, from its placement to its end. Verifies the response and writes the receipt. */
final class TrackedRequest {
    private static final int MAX_REDIRECTS = 3;
    private static final int MAX_ANSWER = 1 << 20;
    private static final long PLACEMENT_TIMEOUT_SECONDS = 5;
    private static final long RESPONSE_TIMEOUT_SECONDS = 18;
    private static final int REQUEST_TIMEOUT_MILLIS = 15_000;
    private final HttpClient httpClient;
    private final Receipts receipts;
    private final LoadPlan.Content content;
    private final List<String> endpoints;
    private final SplittableRandom random;
    private final ResponseVerifier verifier;
    private final long startedAt = EventLoop.nowMicros();
    private String requestId = "";
    private String worker = "";
    private String attemptId = "";
    private String violation = "";
    private long revision;
    private long placedAtMillis;

    TrackedRequest(
            final HttpClient httpClient,
            final Receipts receipts,
            final LoadPlan.Content content,
            final List<String> endpoints,
            final long seed) {
        this.httpClient = httpClient;
        this.receipts = receipts;
        this.content = content;
        this.endpoints = List.copyOf(endpoints);
        this.random = new SplittableRandom(seed);
        this.verifier = new ResponseVerifier(content.prompt(), (problem, what) -> violation = what);
    }

    /** Starts the request at a random endpoint; it continues on the HTTP client's threads. */
    void start() {
        receipts.requestStarted();
        requestPlacement(endpoints.get(random.nextInt(endpoints.size())), 0);
    }

    private void requestPlacement(final String endpoint, final int redirects) {
        final Map<String, Object> body = new LinkedHashMap<>(Map.of(
                "tenant", content.tenant().name(),
                "kind", content.kind(),
                "prefix", content.prefix(),
                "size", content.prompt().length()));
        if (!content.idempotencyKey().isEmpty()) {
            body.put("key", content.idempotencyKey());
        }
        post(endpoint, "/v1/picks", body)
                .timeout(PLACEMENT_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .send(new AnswerListener((status, answer) -> onPlacementAnswer(status, answer, redirects)));
    }

    private void onPlacementAnswer(final int status, final JsonDocument answer, final int redirects) {
        if (status != 200) {
            end(status == 0 ? "unreached" : "rejected-" + status, answer);
        } else if (!answer.string("outcome", 16).equals("pointed")) {
            requestId = answer.string("ticket", 256);
            verifier.requestIssued(requestId);
            revision = answer.integer("table", 0, Long.MAX_VALUE);
            placedAtMillis = System.currentTimeMillis();
            submit(answer.string("carrier", 64), answer.string("permit", 4096));
        } else if (redirects > MAX_REDIRECTS) {
            end("rejected-hops", answer);
        } else {
            requestPlacement(answer.strings("doors", 8, 64).get(0), redirects + 1);
        }
    }

    private void submit(final String endpoint, final String permit) {
        final StreamRecordDecoder decoder = new StreamRecordDecoder(MAX_ANSWER, this::verify);
        final ByteArrayOutputStream errorBody = new ByteArrayOutputStream();
        final Map<String, Object> body = Map.of(
                "permit",
                permit,
                "prefix",
                content.prefix(),
                "prompt",
                content.prompt(),
                "expiryMs",
                REQUEST_TIMEOUT_MILLIS);
        post(endpoint, "/v1/tickets", body)
                .timeout(RESPONSE_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .onResponseContent((response, bytes) -> {
                    if (response.getStatus() == 200) {
                        decoder.decode(bytes);
                    } else {
                        append(errorBody, bytes);
                    }
                })
                .send(result -> onResponseEnd(result, errorBody.toByteArray()));
    }

    private static void append(final ByteArrayOutputStream target, final ByteBuffer bytes) {
        while (bytes.hasRemaining()) {
            target.write(bytes.get());
        }
    }

    private void verify(final StreamRecord record) {
        if (verifier.nextChunk() == 0 && violation.isEmpty() && record instanceof StreamRecord.Chunk chunk) {
            receipts.firstChunk(EventLoop.nowMicros() - startedAt);
            attemptId = chunk.attemptId();
        }
        if (record instanceof StreamRecord.Trailer trailer) {
            worker = trailer.worker();
            attemptId = trailer.attemptId();
        }
        verifier.verify(record);
    }

    private void onResponseEnd(final Result result, final byte[] errorBody) {
        final int status = result.getResponse().getStatus();
        if (!violation.isEmpty()) {
            end(Receipts.BAD + " " + violation, JsonDocument.empty());
        } else if (verifier.isComplete()) {
            end("done", JsonDocument.empty());
        } else if (verifier.isLost()) {
            end("lost", JsonDocument.empty());
        } else if (status >= 400 && result.isSucceeded()) {
            end("rejected-" + status, parse(errorBody));
        } else {
            end(status == 200 || verifier.nextChunk() > 0 ? "cut" : "broken", JsonDocument.empty());
        }
    }

    private void end(final String outcome, final JsonDocument answer) {
        final Map<String, Object> receipt = new LinkedHashMap<>();
        receipt.put("ticket", requestId);
        receipt.put("tenant", content.tenant().name());
        receipt.put("kind", content.kind());
        receipt.put("key", content.idempotencyKey());
        receipt.put("outcome", outcome);
        receipt.put("run", attemptId);
        receipt.put("worker", worker);
        receipt.put("table", revision);
        receipt.put("pieces", verifier.nextChunk());
        receipt.put("prompt", Digests.sha256Hex(content.prompt()).substring(0, 12));
        receipt.put("picked", placedAtMillis);
        receipt.put("why", answer.has("faults") ? String.join("; ", answer.strings("faults", 10, 500)) : "");
        receipts.requestEnded(content.kind(), outcome, receipt);
    }

    private Request post(final String endpoint, final String path, final Map<String, Object> body) {
        return httpClient
                .newRequest(URI.create("http://" + endpoint + path))
                .method("POST")
                .headers(headers -> headers.put(
                        "Authorization", "Bearer " + content.tenant().key()))
                .body(new StringRequestContent("application/json", JsonDocument.write(body)));
    }

    private static JsonDocument parse(final byte[] body) {
        return JsonDocument.parse(body, MAX_ANSWER) instanceof JsonDocument.ParseResult.Valid valid
                ? valid.document()
                : JsonDocument.empty();
    }

    /** Passes on the status of an answer, or 0 if there was none, and its JSON body. */
    private static final class AnswerListener extends BufferingResponseListener {
        private final BiConsumer<Integer, JsonDocument> whenAnswered;

        AnswerListener(final BiConsumer<Integer, JsonDocument> whenAnswered) {
            this.whenAnswered = whenAnswered;
        }

        @Override
        public void onComplete(final Result result) {
            if (result.isSucceeded()) {
                whenAnswered.accept(result.getResponse().getStatus(), parse(getContent()));
            } else {
                whenAnswered.accept(0, JsonDocument.empty());
            }
        }
    }
}
