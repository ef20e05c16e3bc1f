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
import silverlatch.server.workerclient.StreamRecordDecoder;

/** A stand-in worker: reads prompts, keeps prefixes, streams pieces, seals, announces itself, and misbehaves on demand. */
public final class Main {
    private static final int KEPT = 256;

    @Option(name = "--name", required = true)
    private String name = "";

    @Option(name = "--zone", required = true)
    private String zone = "";

    @Option(name = "--region", required = true)
    private String region = "";

    @Option(name = "--door", required = true)
    private String door = "";

    @Option(name = "--gateways", required = true, usage = "doors to announce to, by commas")
    private String gateways = "";

    @Option(name = "--record", required = true, usage = "the file of runs")
    private String record = "";

    @Option(name = "--key", required = true, usage = "the workers' key")
    private String key = "";

    @Option(name = "--slots")
    private int slots = 16;

    @Option(name = "--piece", usage = "microseconds for a piece")
    private long piece = 10_000;

    @Option(name = "--read", usage = "microseconds for a part of a prefix that is not kept")
    private long read = 5_000;

    private final long life = System.currentTimeMillis() * 1000;
    private final long began = EventLoop.nowMicros();
    private final ScheduledExecutorService work =
            Executors.newSingleThreadScheduledExecutor(task -> silverlatch.util.Threads.daemon("work", task));
    private final HttpClient http = new HttpClient();
    private final LinkedHashMap<Long, Boolean> kept = new LinkedHashMap<>(16, 0.75f, true);
    private final Deque<Runnable> line = new ArrayDeque<>();
    private final Map<String, Long> echoes = new ConcurrentHashMap<>();
    private int running;
    private long sequence;
    private boolean leaving;
    private Faults fault = Faults.NONE;
    private PrintWriter book;

    private Main() {}

    /** Runs a stand-in until it is stopped. */
    public static void main(final String[] args)
            throws IOException, ApiServer.HttpServerException, InterruptedException {
        final Main main = new Main();
        try {
            new CmdLineParser(main).parseArgument(args);
        } catch (final CmdLineException e) {
            System.err.println(e.getMessage());
            System.exit(2);
        }
        main.start();
        Thread.currentThread().join();
    }

    private void start() throws IOException, ApiServer.HttpServerException {
        book = new PrintWriter(
                Files.newBufferedWriter(
                        Path.of(record),
                        java.nio.file.StandardOpenOption.CREATE,
                        java.nio.file.StandardOpenOption.APPEND),
                true);
        try {
            http.setMaxConnectionsPerDestination(4);
            http.start();
        } catch (final Exception e) {
            throw new IOException(e);
        }
        new ApiServer(door, 4 << 20, this::route).start();
        work.scheduleAtFixedRate(this::announce, 0, 400, TimeUnit.MILLISECONDS);
    }

    private void route(final HttpExchange c) {
        switch (c.method() + " " + c.path()) {
            case "POST /v1/runs" -> work.execute(() -> take(c));
            case "POST /faults" ->
                work.execute(() -> {
                    fault = Faults.valueOf(new String(c.body(), StandardCharsets.UTF_8).strip());
                    c.reply(200, Map.of("fault", fault.name()));
                });
            case "POST /leave" ->
                work.execute(() -> {
                    leaving = true;
                    note(Map.of("event", "leave", "at", System.currentTimeMillis()));
                    announce();
                    c.reply(200, Map.of("leaving", true));
                });
            default -> c.reply(404, Map.of("faults", List.of("no such page")));
        }
    }

    private void take(final HttpExchange c) {
        if (!c.bearerToken().equals(key)) {
            c.reply(401, Map.of("faults", List.of("the workers' key is needed")), Map.of("X-Started", "no"));
            return;
        }
        if (!(JsonDocument.parse(c.body(), 4 << 20) instanceof JsonDocument.ParseResult.Valid good)) {
            c.reply(400, Map.of("faults", List.of("not JSON")), Map.of("X-Started", "no"));
            return;
        }
        if (fault == Faults.DENY || line.size() >= slots) {
            c.reply(503, Map.of("started", false), Map.of("X-Started", "no"));
            return;
        }
        final JsonDocument s = good.document();
        final String ticket = s.string("ticket", 256);
        final String run = s.string("run", 256);
        final String tenant = s.string("tenant", 64);
        final String kind = s.string("kind", 64);
        final String prompt = s.string("prompt", 4 << 20);
        final List<Long> prefix = s.integers("prefix", 64);
        note(Map.of(
                "event",
                "start",
                "ticket",
                ticket,
                "run",
                run,
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
        c.writeLines("", false, () -> {}, () -> {});
        final Runnable job = () -> {
            running++;
            final long fresh = prefix.stream().filter(p -> !kept.containsKey(p)).count();
            prefix.forEach(p -> kept.put(p, true));
            while (kept.size() > KEPT) {
                kept.remove(kept.keySet().iterator().next());
            }
            work.schedule(() -> step(c, ticket, run, prompt, 0), fresh * read, TimeUnit.MICROSECONDS);
        };
        if (running < slots) {
            job.run();
        } else {
            line.add(job);
        }
    }

    private void step(
            final HttpExchange c, final String ticket, final String run, final String prompt, final int number) {
        final int count = Speech.count(prompt);
        if (fault == Faults.DARK) {
            return;
        }
        if (number == count || fault == Faults.DROP && number == 2) {
            final String sha =
                    fault == Faults.WRONGSEAL ? Speech.sha(prompt, Math.max(0, count - 1)) : Speech.sha(prompt, count);
            final StreamRecord seal = new StreamRecord.Trailer(name, ticket, run, count, sha);
            note(Map.of(
                    "event",
                    "seal",
                    "ticket",
                    ticket,
                    "run",
                    run,
                    "count",
                    count,
                    "worker",
                    name,
                    "at",
                    System.currentTimeMillis()));
            c.writeLines(
                    fault == Faults.NOSEAL || fault == Faults.DROP ? "" : StreamRecordDecoder.encode(seal),
                    true,
                    () -> {},
                    () -> {});
            end();
            return;
        }
        final String owner = fault == Faults.FOREIGN && number == 1 ? ticket + "x" : ticket;
        final String text = fault == Faults.GARBAGE && number == 1
                ? "{nonsense\n"
                : StreamRecordDecoder.encode(new StreamRecord.Chunk(owner, run, number, Speech.piece(prompt, number)));
        final String out =
                fault == Faults.GAP && number == 1 ? "" : fault == Faults.REPEAT && number == 1 ? text + text : text;
        final long pause = fault == Faults.SLOW ? piece * 10 : piece;
        final Runnable next =
                () -> work.schedule(() -> step(c, ticket, run, prompt, number + 1), pause, TimeUnit.MICROSECONDS);
        if (out.isEmpty()) {
            next.run();
        } else {
            c.writeLines(
                    out,
                    false,
                    next,
                    () -> work.execute(() -> {
                        note(Map.of(
                                "event",
                                "cut",
                                "ticket",
                                ticket,
                                "run",
                                run,
                                "worker",
                                name,
                                "at",
                                System.currentTimeMillis()));
                        end();
                    }));
        }
    }

    private void end() {
        running--;
        if (!line.isEmpty()) {
            line.poll().run();
        }
    }

    private void announce() {
        sequence++;
        for (final String p : gateways.split(",")) {
            final List<Long> list = new ArrayList<>(kept.keySet());
            final Map<String, Object> word = new LinkedHashMap<>();
            word.put("worker", name);
            word.put("address", door);
            word.put("zone", zone);
            word.put("region", region);
            word.put("life", life);
            word.put("sequence", sequence);
            word.put("running", running);
            word.put("queued", line.size());
            word.put("slots", slots);
            word.put("kept", list);
            word.put("leaving", leaving);
            word.put("up", EventLoop.nowMicros() - began);
            word.put("echo", echoes.getOrDefault(p, 0L));
            http.newRequest(URI.create("http://" + p + "/v1/announcements"))
                    .method("POST")
                    .headers(h -> h.put("Authorization", "Bearer " + key))
                    .body(new StringRequestContent("application/json", JsonDocument.write(word)))
                    .timeout(2, TimeUnit.SECONDS)
                    .send(new org.eclipse.jetty.client.BufferingResponseListener() {
                        @Override
                        public void onComplete(final org.eclipse.jetty.client.Result result) {
                            if (result.isSucceeded()
                                    && JsonDocument.parse(getContent(), 4096)
                                            instanceof JsonDocument.ParseResult.Valid g) {
                                echoes.put(p, g.document().integer("echo", 0, Long.MAX_VALUE, 0));
                            }
                        }
                    });
        }
    }

    private void note(final Map<String, Object> fields) {
        book.println(JsonDocument.write(fields));
    }
}
