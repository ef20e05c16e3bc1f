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
import silverlatch.simulation.worker.Speech;
import silverlatch.util.Lists;

/** A stand-in for all consumers: an open load of mixed kinds, each reply verified and put down in a file of receipts. */
public final class Main {
    @Option(name = "--doors", required = true)
    private String doors = "";

    @Option(name = "--seconds")
    private int seconds = 10;

    @Option(name = "--rate", usage = "tickets a second")
    private int rate = 50;

    @Option(name = "--tenants", required = true, usage = "NAME:KEY,...")
    private String tenants = "";

    @Option(name = "--kinds", required = true, usage = "KIND:WEIGHT:PIECES:PREFIX:ONCE,...")
    private String kinds = "";

    @Option(name = "--receipts", required = true)
    private String receipts = "";

    @Option(name = "--seed")
    private long seed = 1;

    @Option(name = "--crowd", usage = "how many times as many tickets come in the middle third")
    private int crowd = 1;

    @Option(name = "--again", usage = "each so many once-only tickets is sent again under its key")
    private int again = 10;

    private final HttpClient http = new HttpClient();
    private final Map<String, Long> tally = new TreeMap<>();
    private final List<Long> firsts = new ArrayList<>();
    private final AtomicLong open = new AtomicLong();
    private PrintWriter book;

    private Main() {}

    /** Runs a load; ends with 1 when a reply was not what it should be. */
    public static void main(final String[] args) throws Exception {
        final Main main = new Main();
        try {
            new CmdLineParser(main).parseArgument(args);
        } catch (final CmdLineException e) {
            System.err.println(e.getMessage());
            System.exit(2);
        }
        System.exit(main.run());
    }

    private int run() throws Exception {
        book = new PrintWriter(Files.newBufferedWriter(Path.of(receipts)), true);
        http.setMaxConnectionsPerDestination(2_048);
        http.setConnectTimeout(1_000);
        http.start();
        final SplittableRandom luck = new SplittableRandom(seed);
        final String[] people = tenants.split(",");
        final List<String[]> sorts = new ArrayList<>();
        for (final String k : kinds.split(",")) {
            final String[] f = k.split(":");
            for (int i = 0; i < Integer.parseInt(f[1]); i++) {
                sorts.add(f);
            }
        }
        final long begin = EventLoop.nowMicros();
        double due = 0;
        for (long n = 0; due < seconds * 1e6; n++) {
            final boolean middle = due > seconds * 1e6 / 3 && due < seconds * 2e6 / 3;
            due += 1e6 / rate / (middle ? crowd : 1);
            final long wait = begin + (long) due - EventLoop.nowMicros();
            if (wait > 0) {
                TimeUnit.MICROSECONDS.sleep(wait);
            }
            final String[] f = sorts.get(luck.nextInt(sorts.size()));
            final String[] who = people[luck.nextInt(people.length)].split(":");
            final int pieces = Math.max(1, Integer.parseInt(f[2]) / 2 + luck.nextInt(Integer.parseInt(f[2])));
            final String key = Boolean.parseBoolean(f[4]) ? "k" + seed + "-" + n : "";
            final Trip trip = new Trip(
                    who[0],
                    who[1],
                    f[0],
                    key,
                    pieces + " " + who[0] + " asks " + n + " " + seed,
                    prefix(f, luck),
                    luck.nextLong());
            trip.go();
            if (!key.isEmpty() && luck.nextInt(again) == 0) {
                new Trip(who[0], who[1], f[0], key, trip.prompt, trip.prefix, luck.nextLong()).go();
            }
        }
        final long end = EventLoop.nowMicros() + 20_000_000;
        while (open.get() > 0 && EventLoop.nowMicros() < end) {
            TimeUnit.MILLISECONDS.sleep(20);
        }
        synchronized (this) {
            tally.forEach((k, v) -> System.out.println(k + " " + v));
            firsts.sort(Long::compare);
            if (!firsts.isEmpty()) {
                System.out.println("first piece ms min/median/max " + firsts.get(0) / 1000 + "/"
                        + firsts.get(firsts.size() / 2) / 1000 + "/" + Lists.last(firsts) / 1000);
            }
            System.out.println("open " + open.get());
        }
        http.stop();
        return tally.keySet().stream().anyMatch(k -> k.startsWith("BAD")) || open.get() > 0 ? 1 : 0;
    }

    private static List<String> prefix(final String[] f, final SplittableRandom luck) {
        final List<String> list = new ArrayList<>();
        final int book = luck.nextInt(6);
        for (int i = 0; i < Integer.parseInt(f[3]); i++) {
            list.add(PermitSigner.sha256Hex(f[0] + "/" + book + "/" + i).substring(0, 24));
        }
        return list;
    }

    private synchronized void count(final String name) {
        tally.merge(name, 1L, Long::sum);
    }

    private final class Trip {
        private final String tenant;
        private final String secret;
        private final String kind;
        private final String key;
        private final String prompt;
        private final List<String> prefix;
        private final SplittableRandom luck;
        private final MessageDigest sum = PermitSigner.newSha256();
        private final long begin = EventLoop.nowMicros();
        private String ticket = "";
        private String worker = "";
        private long table;
        private long picked;
        private long next;
        private String run = "";
        private String fault = "";
        private Optional<StreamRecord> last = Optional.empty();

        Trip(
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
            this.key = key;
            this.prompt = prompt;
            this.prefix = prefix;
            this.luck = new SplittableRandom(seed);
        }

        void go() {
            open.incrementAndGet();
            final String[] all = doors.split(",");
            pick(all[luck.nextInt(all.length)], 0);
        }

        private void pick(final String door, final int hops) {
            final Map<String, Object> body = new LinkedHashMap<>(
                    Map.of("tenant", tenant, "kind", kind, "prefix", prefix, "size", prompt.length()));
            if (!key.isEmpty()) {
                body.put("key", key);
            }
            post(door, "/v1/picks", body, (code, s) -> {
                if (code != 200) {
                    end(code == 0 ? "unreached" : "rejected-" + code, s);
                    return;
                }
                if (s.string("outcome", 16).equals("pointed")) {
                    if (hops > 3) {
                        end("rejected-hops", s);
                    } else {
                        pick(s.strings("doors", 8, 64).get(0), hops + 1);
                    }
                    return;
                }
                ticket = s.string("ticket", 256);
                table = s.integer("table", 0, Long.MAX_VALUE);
                picked = System.currentTimeMillis();
                hand(s.string("carrier", 64), s.string("permit", 4096));
            });
        }

        private void hand(final String door, final String permit) {
            final StreamRecordDecoder lines = new StreamRecordDecoder(1 << 20, this::line);
            final java.io.ByteArrayOutputStream other = new java.io.ByteArrayOutputStream();
            http.newRequest(URI.create("http://" + door + "/v1/tickets"))
                    .method("POST")
                    .headers(h -> h.put("Authorization", "Bearer " + secret))
                    .body(new StringRequestContent(
                            "application/json",
                            JsonDocument.write(
                                    Map.of("permit", permit, "prefix", prefix, "prompt", prompt, "expiryMs", 15_000))))
                    .timeout(18, TimeUnit.SECONDS)
                    .onResponseContent((r, b) -> {
                        if (r.getStatus() == 200) {
                            lines.decode(b);
                        } else {
                            while (b.hasRemaining()) {
                                other.write(b.get());
                            }
                        }
                    })
                    .send(result -> over(result, other.toByteArray()));
        }

        private void line(final StreamRecord l) {
            switch (l) {
                case StreamRecord.Chunk p -> {
                    if (next == 0 && fault.isEmpty()) {
                        synchronized (Main.this) {
                            firsts.add(EventLoop.nowMicros() - begin);
                        }
                        run = p.attemptId();
                    }
                    if (last.isPresent()) {
                        fault = "a piece after the end";
                    } else if (p.index() != next) {
                        fault = "piece " + p.index() + " where " + next + " was due";
                    } else if (!p.requestId().equals(ticket) || !p.attemptId().equals(run)) {
                        fault = "a piece of another ticket or run";
                    } else if (!p.text().equals(Speech.piece(prompt, p.index()))) {
                        fault = "someone else's text";
                    }
                    next++;
                    sum.update(p.text().getBytes(java.nio.charset.StandardCharsets.UTF_8));
                }
                case StreamRecord.Trailer s -> {
                    worker = s.worker();
                    run = s.attemptId();
                    if (s.chunkCount() != next
                            || next != Speech.count(prompt)
                            || !s.requestId().equals(ticket)
                            || !s.sha256().equals(HexFormat.of().formatHex(sum.digest()))) {
                        fault = "a seal that does not fit";
                    }
                    last = Optional.of(l);
                }
                case StreamRecord.Lost x -> last = Optional.of(l);
            }
        }

        private void over(final Result result, final byte[] other) {
            final int code = result.getResponse().getStatus();
            if (!fault.isEmpty()) {
                end("BAD " + fault, JsonDocument.empty());
            } else if (last.filter(l -> l instanceof StreamRecord.Trailer).isPresent()) {
                end("done", JsonDocument.empty());
            } else if (last.isPresent()) {
                end("lost", JsonDocument.empty());
            } else if (code >= 400 && result.isSucceeded()) {
                final JsonDocument s = JsonDocument.parse(other, 1 << 20) instanceof JsonDocument.ParseResult.Valid g
                        ? g.document()
                        : JsonDocument.empty();
                end("rejected-" + code, s);
            } else {
                end(code == 200 || next > 0 ? "cut" : "broken", JsonDocument.empty());
            }
        }

        private void end(final String outcome, final JsonDocument s) {
            count(kind + " " + outcome);
            if (outcome.startsWith("BAD")) {
                count("BAD");
            }
            final Map<String, Object> map = new LinkedHashMap<>(Map.of(
                    "ticket", ticket, "tenant", tenant, "kind", kind, "key", key, "outcome", outcome, "run", run,
                    "worker", worker, "table", table, "pieces", next));
            map.put("prompt", PermitSigner.sha256Hex(prompt).substring(0, 12));
            map.put("picked", picked);
            map.put("why", s.has("faults") ? String.join("; ", s.strings("faults", 10, 500)) : "");
            synchronized (Main.this) {
                book.println(JsonDocument.write(map));
            }
            open.decrementAndGet();
        }

        private void post(
                final String door,
                final String path,
                final Map<String, Object> body,
                final java.util.function.BiConsumer<Integer, JsonDocument> then) {
            http.newRequest(URI.create("http://" + door + path))
                    .method("POST")
                    .headers(h -> h.put("Authorization", "Bearer " + secret))
                    .body(new StringRequestContent("application/json", JsonDocument.write(body)))
                    .timeout(5, TimeUnit.SECONDS)
                    .send(new BufferingResponseListener() {
                        @Override
                        public void onComplete(final Result result) {
                            final JsonDocument s = result.isSucceeded()
                                            && JsonDocument.parse(getContent(), 1 << 20)
                                                    instanceof JsonDocument.ParseResult.Valid g
                                    ? g.document()
                                    : JsonDocument.empty();
                            then.accept(
                                    result.isSucceeded() ? result.getResponse().getStatus() : 0, s);
                        }
                    });
        }
    }
}
