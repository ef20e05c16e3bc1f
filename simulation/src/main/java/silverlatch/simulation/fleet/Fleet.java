package silverlatch.simulation.fleet;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import silverlatch.json.JsonDocument;
import silverlatch.util.ChildJvm;

/** A whole fleet of processes on this machine, for drills and tests; it ends what it started. */
public final class Fleet implements AutoCloseable {
    /** The operator's key of a drill. */
    public static final String OPERATOR = "simulation-operator-key";

    private static final String WORKERS = "simulation-workers-key";
    private final Path folder;
    private final Plan plan;
    private final String classes;
    private final List<String> seeds;
    private final Map<String, Part> parts = new LinkedHashMap<>();
    private final HttpClient http =
            HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(1)).build();
    private final List<ServerSocket> held = new ArrayList<>();

    /** A process: its program, its arguments, where it listens, and itself while it runs. */
    private record Part(
            String name, String main, List<String> args, String address, String door, List<Process> process) {}

    /** A fleet of a plan in a folder of its own. */
    public Fleet(final Plan plan, final Path folder, final String classes) throws IOException {
        this.plan = plan;
        this.folder = folder;
        this.classes = classes;
        Files.createDirectories(folder);
        final List<String> seeds = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            seeds.add(free());
        }
        this.seeds = List.copyOf(seeds);
        settings(Map.of("grace", 3_000_000));
        int n = 0;
        for (final Plan.Region r : plan.regions()) {
            n++;
            daemon(
                    "controller-" + n,
                    "silverlatch.server.controller.Main",
                    r,
                    seeds.get(n - 1),
                    folder.resolve("data-" + n));
        }
        n = 0;
        for (final Plan.Region r : plan.regions()) {
            for (int i = 0; i < r.gateways(); i++) {
                daemon("gateway-" + ++n, "silverlatch.server.gateway.Main", r, free(), Path.of(""));
            }
        }
        n = 0;
        int at = 0;
        for (final Plan.Region r : plan.regions()) {
            final List<String> near = new ArrayList<>();
            for (int i = 0; i < r.gateways(); i++) {
                near.add(door("gateway-" + ++at));
            }
            for (int i = 0; i < r.workers(); i++) {
                final String door = free();
                final String name = "worker-" + ++n;
                parts.put(
                        name,
                        new Part(
                                name,
                                "silverlatch.simulation.worker.Main",
                                List.of(
                                        "--name",
                                        name,
                                        "--zone",
                                        r.zone(),
                                        "--region",
                                        r.region(),
                                        "--door",
                                        door,
                                        "--gateways",
                                        String.join(",", near),
                                        "--key",
                                        WORKERS,
                                        "--record",
                                        folder.resolve(name + ".runs").toString()),
                                "",
                                door,
                                new ArrayList<>()));
            }
        }
    }

    /** Writes the settings that all daemons read at their next start. */
    public void settings(final Map<String, Object> more) throws IOException {
        final Map<String, Object> all = new LinkedHashMap<>(Map.of(
                "seeds",
                seeds,
                "key",
                "simulation-cluster-key-of-this-fleet",
                "operator",
                OPERATOR,
                "worker",
                WORKERS));
        all.putAll(more);
        Files.writeString(folder.resolve("settings.json"), JsonDocument.write(all));
    }

    /** Adds a controller at a new address, with an empty data folder or with none. */
    public void controller(final String name, final Plan.Region region, final boolean disk) throws IOException {
        daemon(
                name,
                "silverlatch.server.controller.Main",
                region,
                free(),
                disk ? folder.resolve("data-" + name) : Path.of(""));
    }

    /** The processes that stand in a region. */
    public List<String> places(final String region) {
        return parts.values().stream()
                .filter(p -> p.args().contains(region))
                .map(Part::name)
                .toList();
    }

    /** Starts a process that can't write a file beyond so many KiB, as on a disk that fills up. */
    public void cramped(final String name, final int kib) throws IOException {
        start(name, List.of("bash", "-c", "ulimit -f " + kib + "; exec \"$@\"", "cramped"));
    }

    /** Starts a process by its name. */
    public void start(final String name) throws IOException {
        start(name, List.of());
    }

    private void start(final String name, final List<String> before) throws IOException {
        release();
        final Part p = parts.get(name);
        final List<String> words = new ArrayList<>(before);
        words.addAll(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx160m",
                "-Xss512k",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1"));
        words.addAll(ChildJvm.options());
        words.addAll(List.of("-cp", classes, p.main()));
        words.addAll(p.args());
        p.process().clear();
        p.process()
                .add(new ProcessBuilder(words)
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(
                                folder.resolve(name + ".log").toFile()))
                        .start());
    }

    /** Starts all processes whose names start so. */
    public void all(final String start) throws IOException {
        for (final String name : names(start)) {
            start(name);
        }
    }

    /** The names that start so. */
    public List<String> names(final String start) {
        return parts.keySet().stream().filter(n -> n.startsWith(start)).toList();
    }

    /** A process's door. */
    public String door(final String name) {
        return parts.get(name).door();
    }

    /** Where a daemon takes frames. */
    public String address(final String name) {
        return parts.get(name).address();
    }

    /** The doors of all whose names start so. */
    public String doors(final String start) {
        return String.join(",", names(start).stream().map(this::door).toList());
    }

    /** Kills a process at once. */
    public void kill(final String name) throws InterruptedException {
        for (final Process p : parts.get(name).process()) {
            p.destroyForcibly();
            p.waitFor(5, TimeUnit.SECONDS);
        }
    }

    /** Asks a process to stop, and gives its exit code. */
    public int stop(final String name) throws InterruptedException {
        final Process p = parts.get(name).process().get(0);
        p.destroy();
        if (!p.waitFor(15, TimeUnit.SECONDS)) {
            p.destroyForcibly();
            return -1;
        }
        return p.exitValue();
    }

    /** Freezes a process, or lets it go on. */
    public void freeze(final String name, final boolean on) throws IOException, InterruptedException {
        final long id = parts.get(name).process().get(0).pid();
        new ProcessBuilder("kill", on ? "-STOP" : "-CONT", "" + id).start().waitFor();
    }

    /** Takes a controller's data folder away. */
    public void wipe(final String controller) throws IOException {
        final Path data = folder.resolve("data-" + controller.substring(controller.indexOf('-') + 1));
        if (Files.exists(data)) {
            try (Stream<Path> files = Files.walk(data)) {
                for (final Path f :
                        files.sorted(java.util.Comparator.reverseOrder()).toList()) {
                    Files.delete(f);
                }
            }
        }
    }

    /** The reply of a daemon's door to the operator. */
    public HttpResponse<String> ask(final String name, final String method, final String path, final String body)
            throws IOException, InterruptedException {
        return as(OPERATOR, name, method, path, body);
    }

    /** The reply of a daemon's door to the bearer of a key. */
    public HttpResponse<String> as(
            final String key, final String name, final String method, final String path, final String body)
            throws IOException, InterruptedException {
        return call(key, name, method, path, body, 10);
    }

    /** Posts, and hands over each line of the reply as it comes, for up to a minute. */
    public void lines(
            final String key,
            final String name,
            final String path,
            final String body,
            final java.util.function.Consumer<String> line)
            throws IOException, InterruptedException {
        http.send(request(key, name, "POST", path, body, 60), HttpResponse.BodyHandlers.ofLines())
                .body()
                .forEach(line);
    }

    private HttpResponse<String> call(
            final String key,
            final String name,
            final String method,
            final String path,
            final String body,
            final int seconds)
            throws IOException, InterruptedException {
        return http.send(request(key, name, method, path, body, seconds), HttpResponse.BodyHandlers.ofString());
    }

    private HttpRequest request(
            final String key,
            final String name,
            final String method,
            final String path,
            final String body,
            final int seconds) {
        return HttpRequest.newBuilder(URI.create("http://" + door(name) + path))
                .timeout(Duration.ofSeconds(seconds))
                .header("Authorization", "Bearer " + key)
                .header("Content-Type", "application/json")
                .method(
                        method,
                        body.isEmpty()
                                ? HttpRequest.BodyPublishers.noBody()
                                : HttpRequest.BodyPublishers.ofString(body))
                .build();
    }

    /** Waits until all whose names start so say that they are ready; false when they don't in time. */
    public boolean ready(final String start, final int seconds) throws InterruptedException {
        return until(() -> names(start).stream().allMatch(this::isReady), seconds);
    }

    /** Waits until something holds; false when it does not in time. */
    public boolean until(final java.util.function.BooleanSupplier what, final int seconds) throws InterruptedException {
        final long end = System.nanoTime() + seconds * 1_000_000_000L;
        while (System.nanoTime() < end) {
            if (what.getAsBoolean()) {
                return true;
            }
            TimeUnit.MILLISECONDS.sleep(100);
        }
        return false;
    }

    /** Whether one says that it is ready. */
    public boolean isReady(final String name) {
        try {
            return ask(name, "GET", "/ready", "").statusCode() == 200;
        } catch (final IOException e) {
            return false;
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** Runs a program of ours to its end, its output into a file; gives the exit code. */
    public int run(final String main, final Path out, final List<String> args)
            throws IOException, InterruptedException {
        return begin(main, out, args).waitFor();
    }

    /** Starts a program of ours, its output into a file. */
    public Process begin(final String main, final Path out, final List<String> args) throws IOException {
        final List<String> words = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-Xmx512m", "-XX:+UseSerialGC"));
        words.addAll(ChildJvm.options());
        words.addAll(List.of("-cp", classes, main));
        words.addAll(args);
        final Process p = new ProcessBuilder(words)
                .redirectErrorStream(true)
                .redirectOutput(out.toFile())
                .start();
        parts.computeIfAbsent("run " + main + " " + out, k -> new Part(k, main, args, "", "", new ArrayList<>()))
                .process()
                .add(p);
        return p;
    }

    /** Gives the fleet its tenants and its table; the replies' codes. */
    public List<Integer> load() throws IOException, InterruptedException {
        final List<Integer> codes = new ArrayList<>();
        for (final Plan.Tenant t : plan.tenants()) {
            codes.add(ask(
                            "controller-1",
                            "PUT",
                            "/v1/tenants/" + t.name(),
                            JsonDocument.write(Map.of("key", t.key(), "share", t.share(), "homes", t.homes())))
                    .statusCode());
        }
        codes.add(ask("controller-1", "PUT", "/v1/table", Files.readString(plan.table()))
                .statusCode());
        return codes;
    }

    /** The folder of logs and records. */
    public Path folder() {
        return folder;
    }

    /** The plan. */
    public Plan plan() {
        return plan;
    }

    @Override
    public void close() {
        for (final Part p : parts.values()) {
            p.process().forEach(Process::destroyForcibly);
        }
    }

    private void daemon(
            final String name, final String main, final Plan.Region r, final String address, final Path data)
            throws IOException {
        final String door = free();
        final List<String> args = new ArrayList<>(List.of(
                "--settings",
                folder.resolve("settings.json").toString(),
                "--name",
                name,
                "--zone",
                r.zone(),
                "--region",
                r.region(),
                "--address",
                address,
                "--door",
                door));
        if (!data.toString().isEmpty()) {
            args.addAll(List.of("--data", data.toString()));
        } else if (name.startsWith("gateway")) {
            args.addAll(List.of("--record", folder.resolve(name + ".day").toString()));
        }
        parts.put(name, new Part(name, main, args, address, door, new ArrayList<>()));
    }

    private String free() throws IOException {
        final ServerSocket s = new ServerSocket();
        s.setReuseAddress(true);
        s.bind(new java.net.InetSocketAddress("127.0.0.1", 0));
        held.add(s);
        return "127.0.0.1:" + s.getLocalPort();
    }

    private void release() throws IOException {
        for (final ServerSocket s : held) {
            s.close();
        }
        held.clear();
    }
}
