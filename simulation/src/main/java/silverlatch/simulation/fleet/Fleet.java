package silverlatch.simulation.fleet;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.stream.Stream;
import silverlatch.json.JsonDocument;
import silverlatch.util.ChildJvm;

/** A deployment of controllers, gateways and workers as processes on this machine, for tests. Closing it kills them. */
public final class Fleet implements AutoCloseable {
    /** The operator's API key. */
    public static final String OPERATOR_KEY = "simulation-operator-key";

    private static final String CONTROLLER = "silverlatch.server.controller.Main";
    private static final String GATEWAY = "silverlatch.server.gateway.Main";
    private static final String WORKER = "silverlatch.simulation.worker.Main";
    private static final List<String> NODE_OPTIONS =
            List.of("-Xmx160m", "-Xss512k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1");
    private static final List<String> PROGRAM_OPTIONS = List.of("-Xmx512m", "-XX:+UseSerialGC");
    private static final String WORKER_KEY = "simulation-workers-key";
    private final Path folder;
    private final Plan plan;
    private final String classPath;
    private final List<String> seeds;
    private final Map<String, ManagedProcess> processes = new LinkedHashMap<>();
    private final ApiClient api = new ApiClient();
    private final ReservedPorts ports = new ReservedPorts();

    /** A process with its transport address, or "" if none, its HTTP address, and the process as last started, if any. */
    private record ManagedProcess(
            String name,
            String mainClass,
            List<String> arguments,
            String address,
            String endpoint,
            List<Process> running) {}

    /** Creates the processes of a plan, without starting them; their files are in a directory of their own. */
    public Fleet(final Plan plan, final Path folder, final String classes) throws IOException {
        this.plan = plan;
        this.folder = folder;
        this.classPath = classes;
        Files.createDirectories(folder);
        this.seeds = List.of(ports.reserve(), ports.reserve(), ports.reserve());
        writeSettings(Map.of("grace", 3_000_000));
        addControllers();
        addGateways();
        addWorkers();
    }

    private void addControllers() throws IOException {
        int number = 0;
        for (final Plan.Region region : plan.regions()) {
            number++;
            addNode(
                    "controller-" + number,
                    CONTROLLER,
                    region,
                    seeds.get(number - 1),
                    folder.resolve("data-" + number));
        }
    }

    private void addGateways() throws IOException {
        int number = 0;
        for (final Plan.Region region : plan.regions()) {
            for (int i = 0; i < region.gateways(); i++) {
                number++;
                addNode("gateway-" + number, GATEWAY, region, ports.reserve(), Path.of(""));
            }
        }
    }

    private void addWorkers() throws IOException {
        int number = 0;
        int gatewayNumber = 0;
        for (final Plan.Region region : plan.regions()) {
            final List<String> nearbyEndpoints = new ArrayList<>();
            for (int i = 0; i < region.gateways(); i++) {
                gatewayNumber++;
                nearbyEndpoints.add(endpoint("gateway-" + gatewayNumber));
            }
            for (int i = 0; i < region.workers(); i++) {
                number++;
                addWorker("worker-" + number, region, nearbyEndpoints);
            }
        }
    }

    private void addWorker(final String name, final Plan.Region region, final List<String> gateways)
            throws IOException {
        final String endpoint = ports.reserve();
        final List<String> arguments = List.of(
                "--name", name,
                "--zone", region.zone(),
                "--region", region.region(),
                "--door", endpoint,
                "--gateways", String.join(",", gateways),
                "--key", WORKER_KEY,
                "--record", folder.resolve(name + ".runs").toString());
        processes.put(name, new ManagedProcess(name, WORKER, arguments, "", endpoint, new ArrayList<>()));
    }

    /** Writes the settings file that controllers and gateways read at their next start. */
    public void writeSettings(final Map<String, Object> overrides) throws IOException {
        final Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("seeds", seeds);
        settings.put("key", "simulation-cluster-key-of-this-fleet");
        settings.put("operator", OPERATOR_KEY);
        settings.put("worker", WORKER_KEY);
        settings.putAll(overrides);
        Files.writeString(folder.resolve("settings.json"), JsonDocument.write(settings));
    }

    /** Adds a controller at a new address, with an empty data directory or with none. */
    public void addController(final String name, final Plan.Region region, final boolean disk) throws IOException {
        addNode(name, CONTROLLER, region, ports.reserve(), disk ? folder.resolve("data-" + name) : Path.of(""));
    }

    /** Returns the names of the processes in a region. */
    public List<String> namesInRegion(final String region) {
        return processes.values().stream()
                .filter(p -> p.arguments().contains(region))
                .map(ManagedProcess::name)
                .toList();
    }

    /** Starts a process that can't write files larger than {@code kib} KiB, which simulates a full disk. */
    public void startWithFileLimit(final String name, final int kib) throws IOException {
        start(name, List.of("bash", "-c", "ulimit -f " + kib + "; exec \"$@\"", "cramped"));
    }

    /** Starts the process with a name. */
    public void start(final String name) throws IOException {
        start(name, List.of());
    }

    private void start(final String name, final List<String> wrapper) throws IOException {
        ports.release();
        final ManagedProcess managed = processes.get(name);
        final List<String> command = new ArrayList<>(wrapper);
        command.addAll(javaCommand(managed.mainClass(), NODE_OPTIONS));
        command.addAll(managed.arguments());
        managed.running().clear();
        managed.running()
                .add(new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(
                                folder.resolve(name + ".log").toFile()))
                        .start());
    }

    private List<String> javaCommand(final String mainClass, final List<String> options) {
        final List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(options);
        command.addAll(ChildJvm.options());
        command.addAll(List.of("-cp", classPath, mainClass));
        return command;
    }

    /** Starts all processes whose names have a prefix. */
    public void startAll(final String prefix) throws IOException {
        for (final String name : names(prefix)) {
            start(name);
        }
    }

    /** Returns the names of processes that have a prefix. */
    public List<String> names(final String prefix) {
        return processes.keySet().stream().filter(n -> n.startsWith(prefix)).toList();
    }

    /** Returns the address of a process's HTTP API. */
    public String endpoint(final String name) {
        return processes.get(name).endpoint();
    }

    /** Returns the transport address at which a controller or gateway accepts frames. */
    public String address(final String name) {
        return processes.get(name).address();
    }

    /** Returns the comma-separated HTTP addresses of the processes whose names have a prefix. */
    public String endpoints(final String prefix) {
        return String.join(",", names(prefix).stream().map(this::endpoint).toList());
    }

    /** Kills a process without a graceful shutdown, and waits up to 5 seconds until it has ended. */
    public void kill(final String name) throws InterruptedException {
        for (final Process process : processes.get(name).running()) {
            process.destroyForcibly();
            process.waitFor(5, TimeUnit.SECONDS);
        }
    }

    /** Shuts a process down gracefully and returns its exit code, or -1 if it was killed as it didn't end within 15 s. */
    public int stop(final String name) throws InterruptedException {
        final Process process = processes.get(name).running().get(0);
        process.destroy();
        if (!process.waitFor(15, TimeUnit.SECONDS)) {
            process.destroyForcibly();
            return -1;
        }
        return process.exitValue();
    }

    /** Suspends or resumes a process by a signal. */
    public void freeze(final String name, final boolean frozen) throws IOException, InterruptedException {
        final long id = processes.get(name).running().get(0).pid();
        new ProcessBuilder("kill", frozen ? "-STOP" : "-CONT", "" + id).start().waitFor();
    }

    /** Deletes a controller's data directory. */
    public void deleteDataFolder(final String controller) throws IOException {
        final Path data = folder.resolve("data-" + controller.substring(controller.indexOf('-') + 1));
        if (Files.exists(data)) {
            try (Stream<Path> files = Files.walk(data)) {
                for (final Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(file);
                }
            }
        }
    }

    /** Calls a process's API with the operator's key. */
    public HttpResponse<String> callAsOperator(
            final String name, final String method, final String path, final String body)
            throws IOException, InterruptedException {
        return callAs(OPERATOR_KEY, name, method, path, body);
    }

    /** Calls a process's API with a key. */
    public HttpResponse<String> callAs(
            final String key, final String name, final String method, final String path, final String body)
            throws IOException, InterruptedException {
        return api.call(key, endpoint(name), method, path, body);
    }

    /** Returns the body of a GET request with the operator's key, or an empty text if the process can't be reached. */
    public String bodyOf(final String name, final String path) {
        try {
            return callAsOperator(name, "GET", path, "").body();
        } catch (final IOException failure) {
            return "";
        } catch (final InterruptedException interrupt) {
            Thread.currentThread().interrupt();
            return "";
        }
    }

    /** Sends a POST request and passes each line of the response to a consumer as it arrives, for up to a minute. */
    public void streamLines(
            final String key, final String name, final String path, final String body, final Consumer<String> line)
            throws IOException, InterruptedException {
        api.streamLines(key, endpoint(name), path, body, line);
    }

    /** Waits until all processes whose names have a prefix are ready; returns false if they aren't in time. */
    public boolean awaitReady(final String prefix, final int seconds) throws InterruptedException {
        return await(() -> names(prefix).stream().allMatch(this::isReady), seconds);
    }

    /** Waits until a condition holds, which is checked every 100 ms; returns false if it doesn't in time. */
    public boolean await(final BooleanSupplier condition, final int seconds) throws InterruptedException {
        final long end = System.nanoTime() + seconds * 1_000_000_000L;
        while (System.nanoTime() < end) {
            if (condition.getAsBoolean()) {
                return true;
            }
            TimeUnit.MILLISECONDS.sleep(100);
        }
        return false;
    }

    /** Returns whether a process reports that it is ready. */
    public boolean isReady(final String name) {
        try {
            return callAsOperator(name, "GET", "/ready", "").statusCode() == 200;
        } catch (final IOException failure) {
            return false;
        } catch (final InterruptedException failure) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** Runs another main class of this project to completion with its output in a file; returns the exit code. */
    public int runProgram(final String mainClass, final Path output, final List<String> args)
            throws IOException, InterruptedException {
        return startProgram(mainClass, output, args).waitFor();
    }

    /** Starts another main class of this project with its output in a file; {@link #close} kills it. */
    public Process startProgram(final String mainClass, final Path output, final List<String> args) throws IOException {
        final List<String> command = javaCommand(mainClass, PROGRAM_OPTIONS);
        command.addAll(args);
        final Process process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(output.toFile())
                .start();
        processes
                .computeIfAbsent(
                        "run " + mainClass + " " + output,
                        k -> new ManagedProcess(k, mainClass, args, "", "", new ArrayList<>()))
                .running()
                .add(process);
        return process;
    }

    /** Starts the load generator against all gateways; its output goes to consumer.out in the fleet's directory. */
    public Process startLoad(final Path receipts, final int seconds, final String rate, final long seed)
            throws IOException {
        final List<String> arguments = List.of(
                "--doors", endpoints("gateway"),
                "--seconds", "" + seconds,
                "--rate", rate,
                "--tenants", plan.tenantArguments(),
                "--kinds", plan.kindArguments(),
                "--receipts", receipts.toString(),
                "--seed", "" + seed);
        return startProgram("silverlatch.simulation.client.Main", folder.resolve("consumer.out"), arguments);
    }

    /** Configures the tenants and the routing table of the plan through a controller; returns the response status codes. */
    public List<Integer> loadTenantsAndTable() throws IOException, InterruptedException {
        final List<Integer> codes = new ArrayList<>();
        for (final Plan.Tenant tenant : plan.tenants()) {
            codes.add(callAsOperator(
                            "controller-1",
                            "PUT",
                            "/v1/tenants/" + tenant.name(),
                            JsonDocument.write(Map.of(
                                    "key", tenant.key(), "share", tenant.share(), "homes", tenant.homeRegions())))
                    .statusCode());
        }
        codes.add(callAsOperator("controller-1", "PUT", "/v1/table", Files.readString(plan.table()))
                .statusCode());
        return codes;
    }

    /** Returns the directory of settings, logs and records. */
    public Path folder() {
        return folder;
    }

    /** Returns the plan. */
    public Plan plan() {
        return plan;
    }

    @Override
    public void close() {
        for (final ManagedProcess process : processes.values()) {
            process.running().forEach(Process::destroyForcibly);
        }
    }

    private void addNode(
            final String name,
            final String mainClass,
            final Plan.Region region,
            final String address,
            final Path dataFolder)
            throws IOException {
        final String endpoint = ports.reserve();
        final List<String> args = new ArrayList<>(List.of(
                "--settings",
                folder.resolve("settings.json").toString(),
                "--name",
                name,
                "--zone",
                region.zone(),
                "--region",
                region.region(),
                "--address",
                address,
                "--door",
                endpoint));
        if (!dataFolder.toString().isEmpty()) {
            args.addAll(List.of("--data", dataFolder.toString()));
        } else if (name.startsWith("gateway")) {
            args.addAll(List.of("--record", folder.resolve(name + ".day").toString()));
        }
        processes.put(name, new ManagedProcess(name, mainClass, args, address, endpoint, new ArrayList<>()));
    }
}
