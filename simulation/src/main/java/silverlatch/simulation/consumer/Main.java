package silverlatch.simulation.consumer;

import java.io.PrintWriter;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.client.StringRequestContent;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import silverlatch.dispatch.StreamRecord;
import silverlatch.dispatch.permit.PermitSigner;
import silverlatch.json.JsonDocument;
import silverlatch.server.eventloop.EventLoop;
import silverlatch.server.workerclient.StreamRecordDecoder;
import silverlatch.simulation.response.ExpectedResponse;
import silverlatch.util.Lists;

/** A stand-in for all consumers: an open load of mixed kinds, each reply verified and put down in a file of receipts. */
public final class Main {
    @Option(name = "--doors", required = true)
    private String endpoints = "";

    @Option(name = "--seconds")
    private int seconds = 10;

    @Option(name = "--rate", usage = "tickets a second")
    private int requestsPerSecond = 50;

    @Option(name = "--tenants", required = true, usage = "NAME:KEY,...")
    private String tenants = "";

    @Option(name = "--kinds", required = true, usage = "KIND:WEIGHT:PIECES:PREFIX:ONCE,...")
    private String kinds = "";

    @Option(name = "--receipts", required = true)
    private String receipts = "";

    @Option(name = "--seed")
    private long seed = 1;

    @Option(name = "--crowd", usage = "how many times as many tickets come in the middle third")
    private int spikeFactor = 1;

    @Option(name = "--again", usage = "each so many once-only tickets is sent again under its key")
    private int duplicateEvery = 10;

    private final HttpClient httpClient = new HttpClient();
    private final Map<String, Long> outcomes = new TreeMap<>();
    private final List<Long> firstChunkTimes = new ArrayList<>();
    private final AtomicLong openRequests = new AtomicLong();
    private PrintWriter receiptWriter;

    private Main() {}

    /** Runs a load; ends with 1 when a reply was not what it should be. */
    public static void main(final String[] args) throws Exception {
        final Main main = new Main();
        try {
            new CmdLineParser(main).parseArgument(args);
        } catch (final CmdLineException failure) {
            System.err.println(failure.getMessage());
            System.exit(2);
        }
        System.exit(main.run());
    }

    private int run() throws Exception {
        receiptWriter = new PrintWriter(Files.newBufferedWriter(Path.of(receipts)), true);
        httpClient.setMaxConnectionsPerDestination(2_048);
        httpClient.setConnectTimeout(1_000);
        httpClient.start();
        final SplittableRandom random = new SplittableRandom(seed);
        final String[] tenantNames = tenants.split(",");
        final List<String[]> weightedKinds = new ArrayList<>();
        for (final String kind : kinds.split(",")) {
            final String[] fields = kind.split(":");
            for (int i = 0; i < Integer.parseInt(fields[1]); i++) {
                weightedKinds.add(fields);
            }
        }
        final long start = EventLoop.nowMicros();
        double dueMicros = 0;
        for (long number = 0; dueMicros < seconds * 1e6; number++) {
            final boolean middle = dueMicros > seconds * 1e6 / 3 && dueMicros < seconds * 2e6 / 3;
            dueMicros += 1e6 / requestsPerSecond / (middle ? spikeFactor : 1);
            final long waitMicros = start + (long) dueMicros - EventLoop.nowMicros();
            if (waitMicros > 0) {
                TimeUnit.MICROSECONDS.sleep(waitMicros);
            }
            final String[] fields = weightedKinds.get(random.nextInt(weightedKinds.size()));
            final String[] tenant = tenantNames[random.nextInt(tenantNames.length)].split(":");
            final int pieces =
                    Math.max(1, Integer.parseInt(fields[2]) / 2 + random.nextInt(Integer.parseInt(fields[2])));
            final String key = Boolean.parseBoolean(fields[4]) ? "k" + seed + "-" + number : "";
            final TrackedRequest request = new TrackedRequest(
                    tenant[0],
                    tenant[1],
                    fields[0],
                    key,
                    pieces + " " + tenant[0] + " asks " + number + " " + seed,
                    randomPrefix(fields, random),
                    random.nextLong());
            request.start();
            if (!key.isEmpty() && random.nextInt(duplicateEvery) == 0) {
                new TrackedRequest(
                                tenant[0], tenant[1], fields[0], key, request.prompt, request.prefix, random.nextLong())
                        .start();
            }
        }
        final long end = EventLoop.nowMicros() + 20_000_000;
        while (openRequests.get() > 0 && EventLoop.nowMicros() < end) {
            TimeUnit.MILLISECONDS.sleep(20);
        }
        synchronized (this) {
            outcomes.forEach((kind, v) -> System.out.println(kind + " " + v));
            firstChunkTimes.sort(Long::compare);
            if (!firstChunkTimes.isEmpty()) {
                System.out.println("first piece ms min/median/max " + firstChunkTimes.get(0) / 1000 + "/"
                        + firstChunkTimes.get(firstChunkTimes.size() / 2) / 1000 + "/"
                        + Lists.last(firstChunkTimes) / 1000);
            }
            System.out.println("open " + openRequests.get());
        }
        httpClient.stop();
        return outcomes.keySet().stream().anyMatch(kind -> kind.startsWith("BAD")) || openRequests.get() > 0 ? 1 : 0;
    }

    private static List<String> randomPrefix(final String[] fields, final SplittableRandom random) {
        final List<String> list = new ArrayList<>();
        final int conversation = random.nextInt(6);
        for (int i = 0; i < Integer.parseInt(fields[3]); i++) {
            list.add(PermitSigner.sha256Hex(fields[0] + "/" + conversation + "/" + i)
                    .substring(0, 24));
        }
        return list;
    }

    private synchronized void countOutcome(final String name) {
        outcomes.merge(name, 1L, Long::sum);
    }

    private final class TrackedRequest {
        private final String tenant;
        private final String secret;
        private final String kind;
        private final String idempotencyKey;
        private final String prompt;
        private final List<String> prefix;
        private final SplittableRandom random;
        private final MessageDigest digest = PermitSigner.newSha256();
        private final long startedAt = EventLoop.nowMicros();
        private String requestId = "";
        private String worker = "";
        private long revision;
        private long placedAtMillis;
        private long nextChunk;
        private String attemptId = "";
        private String violation = "";
        private Optional<StreamRecord> lastRecord = Optional.empty();

        TrackedRequest(
                final String tenant,
                final String secret,
                final String kind,
                final String key,
                final String prompt,
                final List<String> prefix,
                final long seed) {
            this.tenant = tenant;
            this.secret = secret;
            this.kind = kind;
            this.idempotencyKey = key;
            this.prompt = prompt;
            this.prefix = prefix;
            this.random = new SplittableRandom(seed);
        }

        void start() {
            openRequests.incrementAndGet();
            final String[] allEndpoints = endpoints.split(",");
            requestPlacement(allEndpoints[random.nextInt(allEndpoints.length)], 0);
        }

        private void requestPlacement(final String endpoint, final int hops) {
            final Map<String, Object> body = new LinkedHashMap<>(
                    Map.of("tenant", tenant, "kind", kind, "prefix", prefix, "size", prompt.length()));
            if (!idempotencyKey.isEmpty()) {
                body.put("key", idempotencyKey);
            }
            post(endpoint, "/v1/picks", body, (status, answer) -> {
                if (status != 200) {
                    finish(status == 0 ? "unreached" : "rejected-" + status, answer);
                    return;
                }
                if (answer.string("outcome", 16).equals("pointed")) {
                    if (hops > 3) {
                        finish("rejected-hops", answer);
                    } else {
                        requestPlacement(answer.strings("doors", 8, 64).get(0), hops + 1);
                    }
                    return;
                }
                requestId = answer.string("ticket", 256);
                revision = answer.integer("table", 0, Long.MAX_VALUE);
                placedAtMillis = System.currentTimeMillis();
                submit(answer.string("carrier", 64), answer.string("permit", 4096));
            });
        }

        private void submit(final String endpoint, final String permit) {
            final StreamRecordDecoder decoder = new StreamRecordDecoder(1 << 20, this::verify);
            final java.io.ByteArrayOutputStream errorBody = new java.io.ByteArrayOutputStream();
            httpClient
                    .newRequest(URI.create("http://" + endpoint + "/v1/tickets"))
                    .method("POST")
                    .headers(h -> h.put("Authorization", "Bearer " + secret))
                    .body(new StringRequestContent(
                            "application/json",
                            JsonDocument.write(
                                    Map.of("permit", permit, "prefix", prefix, "prompt", prompt, "expiryMs", 15_000))))
                    .timeout(18, TimeUnit.SECONDS)
                    .onResponseContent((response, content) -> {
                        if (response.getStatus() == 200) {
                            decoder.decode(content);
                        } else {
                            while (content.hasRemaining()) {
                                errorBody.write(content.get());
                            }
                        }
                    })
                    .send(result -> responseEnded(result, errorBody.toByteArray()));
        }

        private void verify(final StreamRecord record) {
            switch (record) {
                case StreamRecord.Chunk chunk -> {
                    if (nextChunk == 0 && violation.isEmpty()) {
                        synchronized (Main.this) {
                            firstChunkTimes.add(EventLoop.nowMicros() - startedAt);
                        }
                        attemptId = chunk.attemptId();
                    }
                    if (lastRecord.isPresent()) {
                        violation = "a piece after the end";
                    } else if (chunk.index() != nextChunk) {
                        violation = "piece " + chunk.index() + " where " + nextChunk + " was due";
                    } else if (!chunk.requestId().equals(requestId)
                            || !chunk.attemptId().equals(attemptId)) {
                        violation = "a piece of another ticket or run";
                    } else if (!chunk.text().equals(ExpectedResponse.chunk(prompt, chunk.index()))) {
                        violation = "someone else's text";
                    }
                    nextChunk++;
                    digest.update(chunk.text().getBytes(java.nio.charset.StandardCharsets.UTF_8));
                }
                case StreamRecord.Trailer trailer -> {
                    worker = trailer.worker();
                    attemptId = trailer.attemptId();
                    if (trailer.chunkCount() != nextChunk
                            || nextChunk != ExpectedResponse.chunkCount(prompt)
                            || !trailer.requestId().equals(requestId)
                            || !trailer.sha256().equals(HexFormat.of().formatHex(digest.digest()))) {
                        violation = "a seal that does not fit";
                    }
                    lastRecord = Optional.of(record);
                }
                case StreamRecord.Lost x -> lastRecord = Optional.of(record);
            }
        }

        private void responseEnded(final Result result, final byte[] errorBody) {
            final int status = result.getResponse().getStatus();
            if (!violation.isEmpty()) {
                finish("BAD " + violation, JsonDocument.empty());
            } else if (lastRecord.filter(l -> l instanceof StreamRecord.Trailer).isPresent()) {
                finish("done", JsonDocument.empty());
            } else if (lastRecord.isPresent()) {
                finish("lost", JsonDocument.empty());
            } else if (status >= 400 && result.isSucceeded()) {
                final JsonDocument answer =
                        JsonDocument.parse(errorBody, 1 << 20) instanceof JsonDocument.ParseResult.Valid good
                                ? good.document()
                                : JsonDocument.empty();
                finish("rejected-" + status, answer);
            } else {
                finish(status == 200 || nextChunk > 0 ? "cut" : "broken", JsonDocument.empty());
            }
        }

        private void finish(final String outcome, final JsonDocument answer) {
            countOutcome(kind + " " + outcome);
            if (outcome.startsWith("BAD")) {
                countOutcome("BAD");
            }
            final Map<String, Object> map = new LinkedHashMap<>(Map.of(
                    "ticket",
                    requestId,
                    "tenant",
                    tenant,
                    "kind",
                    kind,
                    "key",
                    idempotencyKey,
                    "outcome",
                    outcome,
                    "run",
                    attemptId,
                    "worker",
                    worker,
                    "table",
                    revision,
                    "pieces",
                    nextChunk));
            map.put("prompt", PermitSigner.sha256Hex(prompt).substring(0, 12));
            map.put("picked", placedAtMillis);
            map.put("why", answer.has("faults") ? String.join("; ", answer.strings("faults", 10, 500)) : "");
            synchronized (Main.this) {
                receiptWriter.println(JsonDocument.write(map));
            }
            openRequests.decrementAndGet();
        }

        private void post(
                final String endpoint,
                final String path,
                final Map<String, Object> body,
                final java.util.function.BiConsumer<Integer, JsonDocument> then) {
            httpClient
                    .newRequest(URI.create("http://" + endpoint + path))
                    .method("POST")
                    .headers(h -> h.put("Authorization", "Bearer " + secret))
                    .body(new StringRequestContent("application/json", JsonDocument.write(body)))
                    .timeout(5, TimeUnit.SECONDS)
                    .send(new BufferingResponseListener() {
                        @Override
                        public void onComplete(final Result result) {
                            final JsonDocument answer = result.isSucceeded()
                                            && JsonDocument.parse(getContent(), 1 << 20)
                                                    instanceof JsonDocument.ParseResult.Valid good
                                    ? good.document()
                                    : JsonDocument.empty();
                            then.accept(
                                    result.isSucceeded() ? result.getResponse().getStatus() : 0, answer);
                        }
                    });
        }
    }
}
