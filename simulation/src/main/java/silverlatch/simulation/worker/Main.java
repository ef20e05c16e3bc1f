package silverlatch.simulation.worker;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.client.StringRequestContent;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import silverlatch.json.JsonDocument;
import silverlatch.server.eventloop.EventLoop;
import silverlatch.server.web.ApiServer;
import silverlatch.server.web.HttpExchange;
import silverlatch.server.workerclient.StreamRecordEncoder;
import silverlatch.util.Digests;
import silverlatch.util.Threads;

/**
 * A simulated worker: accepts runs, caches prefixes, streams the chunks and trailer of a {@link ScriptedResponse}, announces
 * itself to the gateways and misbehaves on request, as a {@link WorkerFault} says. Runs are handled on one thread.
 */
public final class Main {
    private static final int PREFIX_CACHE_SIZE = 256;
    private static final int SLOWDOWN = 10;
    private static final int MAX_ANSWER = 4_096;

    @Option(name = "--name", required = true)
    private String name = "";

    @Option(name = "--zone", required = true)
    private String zone = "";

    @Option(name = "--region", required = true)
    private String region = "";

    @Option(name = "--door", required = true)
    private String endpoint = "";

    @Option(
            name = "--gateways",
            required = true,
            usage = "addresses of the gateways to announce to, separated by commas")
    private String gateways = "";

    @Option(name = "--record", required = true, usage = "the file to which records of runs are appended")
    private String recordFile = "";

    @Option(name = "--key", required = true, usage = "the workers' key")
    private String workerKey = "";

    @Option(name = "--slots")
    private int slots = 16;

    @Option(name = "--piece", usage = "microseconds for each chunk")
    private long chunkMicros = 10_000;

    @Option(name = "--read", usage = "microseconds for each part of a prefix that is not cached")
    private long prefillMicros = 5_000;

    private final long incarnation = System.currentTimeMillis() * 1000;
    private final long startedAt = EventLoop.nowMicros();
    private final ScheduledExecutorService executor =
            Executors.newSingleThreadScheduledExecutor(task -> Threads.daemon("work", task));
    private final HttpClient httpClient = new HttpClient();
    private final PrefixCache prefixCache = new PrefixCache(PREFIX_CACHE_SIZE);
    private final Deque<Runnable> queue = new ArrayDeque<>();
    private final Map<String, Long> echoes = new ConcurrentHashMap<>();
    private int running;
    private long sequence;
    private boolean draining;
    private WorkerFault fault = WorkerFault.NONE;
    private PrintWriter recordWriter;

    private Main() {}

    /** Runs a simulated worker until the process is stopped. */
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
                Files.newBufferedWriter(Path.of(recordFile), StandardOpenOption.CREATE, StandardOpenOption.APPEND),
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
        final ScriptedResponse response = new ScriptedResponse(
                name, document.string("ticket", 256), document.string("run", 256), document.string("prompt", 4 << 20));
        final List<Long> prefixDigests = document.integers("prefix", 64);
        writeRunRecord(
                "start",
                response,
                Map.of(
                        "tenant", document.string("tenant", 64),
                        "kind", document.string("kind", 64),
                        "region", region,
                        "prompt", Digests.sha256Hex(response.prompt()).substring(0, 12)));
        exchange.writeLines("", false, () -> {}, () -> {});
        final Runnable start = () -> prefill(exchange, response, prefixDigests);
        if (running < slots) {
            start.run();
        } else {
            queue.add(start);
        }
    }

    private void prefill(final HttpExchange exchange, final ScriptedResponse response, final List<Long> prefixDigests) {
        running++;
        final long delay = prefixCache.admit(prefixDigests) * prefillMicros;
        executor.schedule(() -> streamNext(exchange, response, 0), delay, TimeUnit.MICROSECONDS);
    }

    private void streamNext(final HttpExchange exchange, final ScriptedResponse response, final int index) {
        if (fault == WorkerFault.DARK) {
            return;
        }
        if (index == response.chunkCount() || response.isDropped(fault, index)) {
            endStream(exchange, response);
            return;
        }
        final String lines = lines(response, index);
        final long pause = fault == WorkerFault.SLOW ? chunkMicros * SLOWDOWN : chunkMicros;
        final Runnable next =
                () -> executor.schedule(() -> streamNext(exchange, response, index + 1), pause, TimeUnit.MICROSECONDS);
        if (lines.isEmpty()) {
            next.run();
        } else {
            exchange.writeLines(lines, false, next, () -> executor.execute(() -> cut(response)));
        }
    }

    private String lines(final ScriptedResponse response, final int index) {
        return response.isGarbage(fault, index)
                ? "{nonsense\n"
                : response.chunk(fault, index).stream()
                        .map(StreamRecordEncoder::encode)
                        .collect(Collectors.joining());
    }

    private void endStream(final HttpExchange exchange, final ScriptedResponse response) {
        writeRunRecord("seal", response, Map.of("count", response.chunkCount()));
        final String trailer = fault == WorkerFault.DROP
                ? ""
                : response.trailer(fault).map(StreamRecordEncoder::encode).orElse("");
        exchange.writeLines(trailer, true, () -> {}, () -> {});
        finishRun();
    }

    private void cut(final ScriptedResponse response) {
        writeRunRecord("cut", response, Map.of());
        finishRun();
    }

    /** Writes an event of a run to the record file, with the ids of request and attempt, the worker's name and the time. */
    private void writeRunRecord(final String event, final ScriptedResponse response, final Map<String, Object> more) {
        final Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("event", event);
        fields.put("ticket", response.requestId());
        fields.put("run", response.attemptId());
        fields.put("worker", name);
        fields.put("at", System.currentTimeMillis());
        fields.putAll(more);
        writeRecord(fields);
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
            httpClient
                    .newRequest(URI.create("http://" + gateway + "/v1/announcements"))
                    .method("POST")
                    .headers(headers -> headers.put("Authorization", "Bearer " + workerKey))
                    .body(new StringRequestContent("application/json", JsonDocument.write(report(gateway))))
                    .timeout(2, TimeUnit.SECONDS)
                    .send(new EchoListener(gateway));
        }
    }

    private Map<String, Object> report(final String gateway) {
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
        report.put("kept", prefixCache.digests());
        report.put("leaving", draining);
        report.put("up", EventLoop.nowMicros() - startedAt);
        report.put("echo", echoes.getOrDefault(gateway, 0L));
        return report;
    }

    /** Stores the echo value of a gateway's response, which is returned to it with the next announcement. */
    private final class EchoListener extends BufferingResponseListener {
        private final String gateway;

        EchoListener(final String gateway) {
            this.gateway = gateway;
        }

        @Override
        public void onComplete(final Result result) {
            if (result.isSucceeded()
                    && JsonDocument.parse(getContent(), MAX_ANSWER) instanceof JsonDocument.ParseResult.Valid valid) {
                echoes.put(gateway, valid.document().integer("echo", 0, Long.MAX_VALUE, 0));
            }
        }
    }

    private void writeRecord(final Map<String, Object> fields) {
        recordWriter.println(JsonDocument.write(fields));
    }
}
