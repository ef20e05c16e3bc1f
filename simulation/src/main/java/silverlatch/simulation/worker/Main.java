package silverlatch.simulation.worker;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.StringRequestContent;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import silverlatch.dispatch.StreamRecord;
import silverlatch.json.JsonDocument;
import silverlatch.server.eventloop.EventLoop;
import silverlatch.server.web.ApiServer;
import silverlatch.server.web.HttpExchange;
import silverlatch.server.workerclient.StreamRecordEncoder;
import silverlatch.simulation.response.ExpectedResponse;

/** A stand-in worker: reads prompts, keeps prefixes, streams pieces, seals, announces itself, and misbehaves on demand. */
public final class Main {
    private static final int PREFIX_CACHE_SIZE = 256;

    @Option(name = "--name", required = true)
    private String name = "";

    @Option(name = "--zone", required = true)
    private String zone = "";

    @Option(name = "--region", required = true)
    private String region = "";

    @Option(name = "--door", required = true)
    private String endpoint = "";

    @Option(name = "--gateways", required = true, usage = "doors to announce to, by commas")
    private String gateways = "";

    @Option(name = "--record", required = true, usage = "the file of runs")
    private String recordFile = "";

    @Option(name = "--key", required = true, usage = "the workers' key")
    private String workerKey = "";

    @Option(name = "--slots")
    private int slots = 16;

    @Option(name = "--piece", usage = "microseconds for a piece")
    private long chunkMicros = 10_000;

    @Option(name = "--read", usage = "microseconds for a part of a prefix that is not kept")
    private long prefillMicros = 5_000;

    private final long incarnation = System.currentTimeMillis() * 1000;
    private final long startedAt = EventLoop.nowMicros();
    private final ScheduledExecutorService executor =
            Executors.newSingleThreadScheduledExecutor(task -> silverlatch.util.Threads.daemon("work", task));
    private final HttpClient httpClient = new HttpClient();
    private final LinkedHashMap<Long, Boolean> prefixCache = new LinkedHashMap<>(16, 0.75f, true);
    private final Deque<Runnable> queue = new ArrayDeque<>();
    private final Map<String, Long> echoes = new ConcurrentHashMap<>();
    private int running;
    private long sequence;
    private boolean draining;
    private WorkerFault fault = WorkerFault.NONE;
    private PrintWriter recordWriter;

    private Main() {}

    /** Runs a stand-in until it is stopped. */
    public static void main(final String[] args)
            throws IOException, ApiServer.HttpServerException, InterruptedException {
        final Main main = new Main();
        try {
            new CmdLineParser(main).parseArgument(args);
        } catch (final CmdLineException failure) {
            System.err.println(failure.getMessage());
            System.exit(2);
        }
        main.start();
        Thread.currentThread().join();
    }

    private void start() throws IOException, ApiServer.HttpServerException {
        recordWriter = new PrintWriter(
                Files.newBufferedWriter(
                        Path.of(recordFile),
                        java.nio.file.StandardOpenOption.CREATE,
                        java.nio.file.StandardOpenOption.APPEND),
                true);
        try {
            httpClient.setMaxConnectionsPerDestination(4);
            httpClient.start();
        } catch (final Exception failure) {
            throw new IOException(failure);
        }
        new ApiServer(endpoint, 4 << 20, this::handle).start();
        executor.scheduleAtFixedRate(this::announce, 0, 400, TimeUnit.MILLISECONDS);
    }

    private void handle(final HttpExchange exchange) {
        switch (exchange.method() + " " + exchange.path()) {
            case "POST /v1/runs" -> executor.execute(() -> startRun(exchange));
            case "POST /faults" ->
                executor.execute(() -> {
                    fault = WorkerFault.valueOf(new String(exchange.body(), StandardCharsets.UTF_8).strip());
                    exchange.reply(200, Map.of("fault", fault.name()));
                });
            case "POST /leave" ->
                executor.execute(() -> {
                    draining = true;
                    writeRecord(Map.of("event", "leave", "at", System.currentTimeMillis()));
                    announce();
                    exchange.reply(200, Map.of("leaving", true));
                });
            default -> exchange.reply(404, Map.of("faults", List.of("no such page")));
        }
    }

    private void startRun(final HttpExchange exchange) {
        if (!exchange.bearerToken().equals(workerKey)) {
            exchange.reply(401, Map.of("faults", List.of("the workers' key is needed")), Map.of("X-Started", "no"));
            return;
        }
        if (!(JsonDocument.parse(exchange.body(), 4 << 20) instanceof JsonDocument.ParseResult.Valid good)) {
            exchange.reply(400, Map.of("faults", List.of("not JSON")), Map.of("X-Started", "no"));
            return;
        }
        if (fault == WorkerFault.DENY || queue.size() >= slots) {
            exchange.reply(503, Map.of("started", false), Map.of("X-Started", "no"));
            return;
        }
        final JsonDocument document = good.document();
        final String requestId = document.string("ticket", 256);
        final String attemptId = document.string("run", 256);
        final String tenant = document.string("tenant", 64);
        final String kind = document.string("kind", 64);
        final String prompt = document.string("prompt", 4 << 20);
        final List<Long> prefix = document.integers("prefix", 64);
        writeRecord(Map.of(
                "event",
                "start",
                "ticket",
                requestId,
                "run",
                attemptId,
                "tenant",
                tenant,
                "kind",
                kind,
                "region",
                region,
                "worker",
                name,
                "prompt",
                silverlatch.dispatch.permit.PermitSigner.sha256Hex(prompt).substring(0, 12),
                "at",
                System.currentTimeMillis()));
        exchange.writeLines("", false, () -> {}, () -> {});
        final Runnable start = () -> {
            running++;
            final long uncachedParts =
                    prefix.stream().filter(p -> !prefixCache.containsKey(p)).count();
            prefix.forEach(p -> prefixCache.put(p, true));
            while (prefixCache.size() > PREFIX_CACHE_SIZE) {
                prefixCache.remove(prefixCache.keySet().iterator().next());
            }
            executor.schedule(
                    () -> streamNext(exchange, requestId, attemptId, prompt, 0),
                    uncachedParts * prefillMicros,
                    TimeUnit.MICROSECONDS);
        };
        if (running < slots) {
            start.run();
        } else {
            queue.add(start);
        }
    }

    private void streamNext(
            final HttpExchange exchange,
            final String requestId,
            final String attemptId,
            final String prompt,
            final int number) {
        final int count = ExpectedResponse.chunkCount(prompt);
        if (fault == WorkerFault.DARK) {
            return;
        }
        if (number == count || fault == WorkerFault.DROP && number == 2) {
            final String sha256 = fault == WorkerFault.WRONGSEAL
                    ? ExpectedResponse.sha256(prompt, Math.max(0, count - 1))
                    : ExpectedResponse.sha256(prompt, count);
            final StreamRecord trailer = new StreamRecord.Trailer(name, requestId, attemptId, count, sha256);
            writeRecord(Map.of(
                    "event",
                    "seal",
                    "ticket",
                    requestId,
                    "run",
                    attemptId,
                    "count",
                    count,
                    "worker",
                    name,
                    "at",
                    System.currentTimeMillis()));
            exchange.writeLines(
                    fault == WorkerFault.NOSEAL || fault == WorkerFault.DROP ? "" : StreamRecordEncoder.encode(trailer),
                    true,
                    () -> {},
                    () -> {});
            finishRun();
            return;
        }
        final String chunkRequestId = fault == WorkerFault.FOREIGN && number == 1 ? requestId + "x" : requestId;
        final String text = fault == WorkerFault.GARBAGE && number == 1
                ? "{nonsense\n"
                : StreamRecordEncoder.encode(new StreamRecord.Chunk(
                        chunkRequestId, attemptId, number, ExpectedResponse.chunk(prompt, number)));
        final String output = fault == WorkerFault.GAP && number == 1
                ? ""
                : fault == WorkerFault.REPEAT && number == 1 ? text + text : text;
        final long pause = fault == WorkerFault.SLOW ? chunkMicros * 10 : chunkMicros;
        final Runnable next = () -> executor.schedule(
                () -> streamNext(exchange, requestId, attemptId, prompt, number + 1), pause, TimeUnit.MICROSECONDS);
        if (output.isEmpty()) {
            next.run();
        } else {
            exchange.writeLines(
                    output,
                    false,
                    next,
                    () -> executor.execute(() -> {
                        writeRecord(Map.of(
                                "event",
                                "cut",
                                "ticket",
                                requestId,
                                "run",
                                attemptId,
                                "worker",
                                name,
                                "at",
                                System.currentTimeMillis()));
                        finishRun();
                    }));
        }
    }

    private void finishRun() {
        running--;
        if (!queue.isEmpty()) {
            queue.poll().run();
        }
    }

    private void announce() {
        sequence++;
        for (final String gateway : gateways.split(",")) {
            final List<Long> cachedPrefixes = new ArrayList<>(prefixCache.keySet());
            final Map<String, Object> report = new LinkedHashMap<>();
            report.put("worker", name);
            report.put("address", endpoint);
            report.put("zone", zone);
            report.put("region", region);
            report.put("life", incarnation);
            report.put("sequence", sequence);
            report.put("running", running);
            report.put("queued", queue.size());
            report.put("slots", slots);
            report.put("kept", cachedPrefixes);
            report.put("leaving", draining);
            report.put("up", EventLoop.nowMicros() - startedAt);
            report.put("echo", echoes.getOrDefault(gateway, 0L));
            httpClient
                    .newRequest(URI.create("http://" + gateway + "/v1/announcements"))
                    .method("POST")
                    .headers(h -> h.put("Authorization", "Bearer " + workerKey))
                    .body(new StringRequestContent("application/json", JsonDocument.write(report)))
                    .timeout(2, TimeUnit.SECONDS)
                    .send(new org.eclipse.jetty.client.BufferingResponseListener() {
                        @Override
                        public void onComplete(final org.eclipse.jetty.client.Result result) {
                            if (result.isSucceeded()
                                    && JsonDocument.parse(getContent(), 4096)
                                            instanceof JsonDocument.ParseResult.Valid good) {
                                echoes.put(gateway, good.document().integer("echo", 0, Long.MAX_VALUE, 0));
                            }
                        }
                    });
        }
    }

    private void writeRecord(final Map<String, Object> fields) {
        recordWriter.println(JsonDocument.write(fields));
    }
}
