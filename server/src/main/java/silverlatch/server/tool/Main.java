package silverlatch.server.tool;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.ParserProperties;
import silverlatch.json.JsonDocument;
import silverlatch.server.settings.CommandLineFlags;

/** The operators' command. Exit codes: 0 done, 1 rejected, 2 wrong use, 3 not reached, 4 not known. */
public final class Main {
    private static final int MAX_REPLY_BYTES = 64 << 20;
    private static final String CONFIGURATION_PATH = "/v1/charter";
    private static final String USAGE = """
            silverlatch [flags] COMMAND
              table get                              show the table
              table put FILE                         put a whole table (JSON with rows)
              table diff FILE                        show the cells that FILE would change; changes nothing
              table set TENANT KIND FIELD VALUE      change one cell (TENANT * is the row for all)
              tenant list
              tenant put NAME KEY SHARE [HOME ...]   make or change a tenant
              tenant drop NAME
              charter get                            show the charter in force, as it was put
              charter put FILE [MATCH]               put a whole charter, where MATCH is the number it builds on
              charter rules                          show the rules in force
              drain ZONE                             empty a zone
              undrain ZONE                           give it back
              zones                                  show the orders on zones
              calendar list                          show the calendars
              calendar put NAME FILE                 make or change one (JSON with cron, and cells or zone and empty)
              calendar drop NAME
              change ID                              ask how a change stands
              claims [STATE]                         list once-only keys by how they stand (running is listed if none is given)
              status                                 show what the daemon at --door knows
              explain TICKET                         show why a ticket went where it went (ask its carrier's door)
            exit codes: 0 done, 1 rejected, 2 wrong use, 3 not reached, 4 not known whether it takes effect""";

    @Option(name = "--door", metaVar = "IP:PORT[,...]", usage = "doors to try, one after another (or SILVERLATCH_DOOR)")
    private String door = Optional.ofNullable(System.getenv("SILVERLATCH_DOOR")).orElse("127.0.0.1:8001");

    @Option(name = "--key", metaVar = "KEY", usage = "the operator's key (or SILVERLATCH_KEY)")
    private String key = Optional.ofNullable(System.getenv("SILVERLATCH_KEY")).orElse("");

    @Option(name = "--match", metaVar = "SEQUENCE", usage = "only if it still is at this sequence")
    private String match = "*";

    @Option(name = "--change", metaVar = "ID", usage = "the change's id, to ask for it later")
    private String change = UUID.randomUUID().toString();

    @Option(name = "--json", usage = "print the reply as it came")
    private boolean json;

    @Option(name = "--help", help = true, usage = "show this text and end")
    private boolean help;

    @Option(name = "--version", help = true, usage = "show the version and end")
    private boolean version;

    @Argument(metaVar = "COMMAND")
    private List<String> commandWords = new ArrayList<>();

    private Main() {}

    /** Runs one command. */
    public static void main(final String[] args) {
        System.exit(new Main().run(args, System.out, System.err));
    }

    private int run(final String[] args, final PrintStream out, final PrintStream err) {
        final CmdLineParser parser =
                new CmdLineParser(this, ParserProperties.defaults().withUsageWidth(100));
        try {
            parser.parseArgument(args);
        } catch (final CmdLineException e) {
            err.println("silverlatch: " + e.getMessage());
            return 2;
        }
        if (help) {
            out.println(USAGE);
            parser.printUsage(out);
            return 0;
        }
        if (version) {
            out.println("silverlatch " + CommandLineFlags.VERSION);
            return 0;
        }
        try {
            if (commandWords.size() == 3
                    && commandWords.get(0).equals("table")
                    && commandWords.get(1).equals("diff")) {
                return diff(Files.readAllBytes(Path.of(commandWords.get(2))), out, err);
            }
            if (!commandWords.isEmpty()
                    && commandWords.size() < 3
                    && commandWords.get(0).equals("claims")) {
                return claims(commandWords.size() > 1 ? commandWords.get(1) : "running", out, err);
            }
            final Optional<ApiRequest> ask = ask();
            if (ask.isEmpty()) {
                err.println(USAGE);
                return 2;
            }
            return send(ask.get(), out, err);
        } catch (final IOException e) {
            err.println("silverlatch: the file can't be read: " + e.getMessage());
            return 2;
        }
    }

    private Optional<ApiRequest> ask() throws IOException {
        final String verb = commandWords.isEmpty() ? "" : commandWords.get(0);
        final int n = commandWords.size();
        final String pair = n > 1 ? verb + " " + commandWords.get(1) : verb;
        if (pair.equals("table get") && n == 2) {
            return ask("GET", "/v1/table");
        } else if (pair.equals("table put") && n == 3) {
            return Optional.of(
                    new ApiRequest("PUT", "/v1/table", Optional.of(Files.readAllBytes(Path.of(commandWords.get(2))))));
        } else if (pair.equals("table set") && n == 6) {
            return Optional.of(new ApiRequest(
                    "PATCH",
                    "/v1/table",
                    body(Map.of(
                            "cells",
                            List.of(Map.of(
                                    "tenant",
                                    commandWords.get(2),
                                    "kind",
                                    commandWords.get(3),
                                    "field",
                                    commandWords.get(4),
                                    "value",
                                    commandWords.get(5)))))));
        } else if (pair.equals("tenant list") && n == 2) {
            return ask("GET", "/v1/tenants");
        } else if (pair.equals("tenant put") && n >= 5 && commandWords.get(4).matches("\\d+(\\.\\d+)?")) {
            return Optional.of(new ApiRequest(
                    "PUT",
                    "/v1/tenants/" + commandWords.get(2),
                    body(Map.of(
                            "key",
                            commandWords.get(3),
                            "share",
                            Double.parseDouble(commandWords.get(4)),
                            "homes",
                            commandWords.subList(5, n)))));
        } else if (pair.equals("tenant drop") && n == 3) {
            return ask("DELETE", "/v1/tenants/" + commandWords.get(2));
        } else if (pair.equals("charter get") && n == 2) {
            return ask("GET", CONFIGURATION_PATH);
        } else if (pair.equals("charter rules") && n == 2) {
            return ask("GET", "/v1/rules");
        } else if (pair.equals("charter put")
                && (n == 3 || n == 4 && commandWords.get(3).matches("\\d{1,18}"))) {
            match = n == 4 ? commandWords.get(3) : match;
            return Optional.of(new ApiRequest(
                    "PUT", CONFIGURATION_PATH, Optional.of(Files.readAllBytes(Path.of(commandWords.get(2))))));
        } else if ((verb.equals("drain") || verb.equals("undrain")) && n == 2) {
            return Optional.of(new ApiRequest(
                    "PUT", "/v1/zones/" + commandWords.get(1), body(Map.of("empty", verb.equals("drain")))));
        } else if (pair.equals("calendar list") && n == 2) {
            return ask("GET", "/v1/calendars");
        } else if (pair.equals("calendar put") && n == 4) {
            return Optional.of(new ApiRequest(
                    "PUT",
                    "/v1/calendars/" + commandWords.get(2),
                    Optional.of(Files.readAllBytes(Path.of(commandWords.get(3))))));
        } else if (pair.equals("calendar drop") && n == 3) {
            return ask("DELETE", "/v1/calendars/" + commandWords.get(2));
        } else if (verb.equals("zones") && n == 1) {
            return ask("GET", "/v1/zones");
        } else if (verb.equals("change") && n == 2) {
            return ask("GET", "/v1/changes/" + commandWords.get(1));
        } else if (verb.equals("status") && n == 1) {
            return ask("GET", "/status");
        } else if (verb.equals("explain") && n == 2) {
            return ask("GET", "/v1/explain/" + commandWords.get(1));
        }
        return Optional.empty();
    }

    private static Optional<ApiRequest> ask(final String method, final String path) {
        return Optional.of(new ApiRequest(method, path, Optional.empty()));
    }

    private static Optional<byte[]> body(final Map<String, ?> map) {
        return Optional.of(JsonDocument.write(map).getBytes(StandardCharsets.UTF_8));
    }

    private int send(final ApiRequest ask, final PrintStream out, final PrintStream err) {
        final HttpClient http = new HttpClient();
        http.setConnectTimeout(1_000);
        try {
            http.start();
            String why = "no door is given";
            for (final String d : door.split(",")) {
                try {
                    final Request r = http.newRequest(URI.create("http://" + d + ask.path()))
                            .method(ask.method())
                            .headers(h -> h.put("Authorization", "Bearer " + key)
                                    .put("X-Change", change)
                                    .put("If-Match", match))
                            .timeout(10, TimeUnit.SECONDS);
                    ask.body().ifPresent(b -> r.body(new BytesRequestContent("application/json", b)));
                    final ContentResponse reply = new CompletableResponseListener(r, MAX_REPLY_BYTES)
                            .send()
                            .get(10, TimeUnit.SECONDS);
                    return show(
                            reply,
                            json || ask.method().equals("GET") && ask.path().equals(CONFIGURATION_PATH),
                            out,
                            err);
                } catch (final ExecutionException | TimeoutException e) {
                    why = d + ": " + e.getMessage();
                    if (!ask.method().equals("GET") && !(e.getCause() instanceof java.net.ConnectException)) {
                        err.println(
                                "silverlatch: " + why + "; it is not known whether change " + change + " takes effect");
                        return 4;
                    }
                }
            }
            err.println("silverlatch: not reached: " + why);
            return 3;
        } catch (final Exception e) {
            err.println("silverlatch: " + e.getMessage());
            return 3;
        } finally {
            try {
                http.stop();
            } catch (final Exception e) {
                err.println("silverlatch: " + e.getMessage());
            }
        }
    }

    /** Asks quietly; the reply's sheet, or nothing when it was said already why there is none. */
    private Optional<JsonDocument> fetch(final String path, final PrintStream err, final int[] code) {
        final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        final boolean was = json;
        json = true;
        code[0] = send(
                new ApiRequest("GET", path, Optional.empty()),
                new PrintStream(bytes, true, StandardCharsets.UTF_8),
                err);
        json = was;
        if (code[0] == 0
                && JsonDocument.parse(bytes.toByteArray(), 64 << 20) instanceof JsonDocument.ParseResult.Valid good) {
            return Optional.of(good.document());
        }
        err.print(bytes.toString(StandardCharsets.UTF_8));
        return Optional.empty();
    }

    private int diff(final byte[] file, final PrintStream out, final PrintStream err) {
        final int[] code = {0};
        final Optional<JsonDocument> now = fetch("/v1/table", err, code);
        if (now.isEmpty()) {
            return code[0];
        }
        return switch (TableDifference.between(now.get(), file)) {
            case TableDifference.Invalid bad -> {
                bad.faults().forEach(err::println);
                yield 1;
            }
            case TableDifference.Computed good -> {
                good.lines().forEach(out::println);
                out.println(good.lines().size() + " differences from sequence " + good.revision());
                yield 0;
            }
        };
    }

    private int claims(final String state, final PrintStream out, final PrintStream err) {
        if (!List.of("running", "done", "lost", "rejected").contains(state)) {
            err.println("silverlatch: a claim is running, done, lost or rejected, not " + state);
            return 2;
        }
        final int[] code = {0};
        int found = 0;
        for (int i = 0; i < 256; i++) {
            final Optional<JsonDocument> page = fetch(String.format("/v1/claims/%02x", i), err, code);
            if (page.isEmpty()) {
                return code[0];
            }
            final List<JsonDocument> all = page.get().objects("claims", Integer.MAX_VALUE).stream()
                    .filter(s -> s.string("state", 16).equals(state))
                    .toList();
            all.forEach(s -> out.println("ticket=" + s.string("ticket", 256) + "  carrier=" + s.string("carrier", 64)
                    + "  since=" + s.string("since", 64)));
            found += all.size();
        }
        out.println(found + " " + state);
        return 0;
    }

    private int show(final ContentResponse reply, final boolean raw, final PrintStream out, final PrintStream err) {
        final String text = reply.getContentAsString();
        final int code = reply.getStatus() < 300 ? 0 : reply.getStatus() == 504 ? 4 : 1;
        if (raw && (json || code == 0)) {
            out.println(text);
            return code;
        }
        switch (JsonDocument.parse(text.getBytes(StandardCharsets.UTF_8), 64 << 20)) {
            case JsonDocument.ParseResult.Invalid bad -> err.println("silverlatch: " + reply.getStatus() + " " + text);
            case JsonDocument.ParseResult.Valid good -> {
                final Map<String, Object> map =
                        new LinkedHashMap<>(good.document().asMap());
                if (code == 0) {
                    print("", map, out);
                } else {
                    err.println(
                            "silverlatch: " + map.getOrDefault("outcome", "rejected") + " (" + reply.getStatus() + ")");
                    print("  ", map, err);
                }
            }
        }
        return code;
    }

    private static void print(final String start, final Map<?, ?> map, final PrintStream out) {
        map.forEach((k, v) -> {
            if (v instanceof List<?> list && !list.isEmpty()) {
                out.println(start + k + ":");
                list.forEach(x -> out.println(start + "  " + (x instanceof Map<?, ?> m ? row(m) : "" + x)));
            } else if (v instanceof Map<?, ?> m) {
                out.println(start + k + ": " + row(m));
            } else {
                out.println(start + k + ": " + plain(v));
            }
        });
    }

    private static String row(final Map<?, ?> map) {
        return map.entrySet().stream()
                .map(e -> e.getKey() + "=" + plain(e.getValue()))
                .collect(java.util.stream.Collectors.joining("  "));
    }

    private static String plain(final Object v) {
        return v instanceof Double d && d == Math.rint(d) && Math.abs(d) < 1e15 ? "" + d.longValue() : "" + v;
    }

    private record ApiRequest(String method, String path, Optional<byte[]> body) {}
}
