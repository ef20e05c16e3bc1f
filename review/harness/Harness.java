import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Stand-ins for the platform, its operator, clients and workers, for the review scripts. Starts the project's programs with the commands
 * of deploy/system.toml as separate processes: one controller and one gateway on each of three machines, each machine with a loopback
 * address of its own. Only the standard library is used.
 */
final class Harness implements AutoCloseable {
    static final String[] ZONES = {"zone-1", "zone-2", "zone-3"};
    static final String[] REGIONS = {"region-1", "region-2", "region-3"};
    private static final int TOKENS_PER_EVENT = 5;
    private static final double EVENT_GAP_S = 0.08;
    private static final int OPERATOR_SILENCE_MS = 1_000;
    private static final AtomicLong IDS = new AtomicLong();

    final List<Machine> machines = new ArrayList<>();
    final List<Worker> workers = new CopyOnWriteArrayList<>();
    final List<Answer> answers = new CopyOnWriteArrayList<>();
    private final Path root;
    private final Path folder;
    private final PrintWriter record;
    private final long startedAt = System.nanoTime();
    private final Map<String, List<String>> commands = new HashMap<>();
    private final int[] ports = new int[5];
    private final String net;
    private volatile boolean closed;

    /**
     * A kind of request: its host, the service of its route, and its figures as on the sheet of aegean-desk. A client gives a stream up
     * after the given silence.
     */
    record Kind(String host, String service, int timeoutMs, int aimMs, int priority, int silenceMs, int events) {
        /** Returns a kind like timetable-digest. */
        static Kind digest(final String host, final String service, final int events) {
            return new Kind(host, service, 5_000, 1_000, 1, 4_000, events);
        }

        /** Returns a kind like refund-ruling. */
        static Kind ruling(final String host, final String service, final int events) {
            return new Kind(host, service, 15_000, 600, 0, 3_200, events);
        }
    }

    /** The response to a call: its status (0 if none came), and its body. */
    record Reply(int status, String body) {}

    /** A client's request: when it was sent, by which gateway it was taken, and how it ended. */
    record Answer(double sentAt, String id, String route, String gateway, double endedAt, String outcome) {}

    /** A request that a worker received. */
    record Arrival(double at, String id, String worker) {}

    Harness(final Path root, final Path recordFile) throws IOException {
        this.root = root;
        this.folder = Files.createTempDirectory("silverlatch-review");
        this.record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
        for (final String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            if (line.startsWith("run = \"")) {
                final List<String> words = List.of(line.substring(7, line.lastIndexOf('"')).split(" "));
                commands.put(words.get(words.size() - 1), words);
            }
        }
        final Random random = new Random();
        this.net = "127." + (20 + random.nextInt(200)) + "." + (1 + random.nextInt(250)) + ".";
        final int base = 20_000 + 40 * random.nextInt(200);
        for (int i = 0; i < ports.length; i++) {
            ports[i] = base + i;
        }
        for (int i = 0; i < ZONES.length; i++) {
            machines.add(new Machine(i));
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    /** Returns the seconds since the harness was created. */
    double now() {
        return (System.nanoTime() - startedAt) / 1e9;
    }

    /** Writes a line to the record. */
    synchronized void note(final String text) {
        record.printf(Locale.ROOT, "%8.3f  %s%n", now(), text);
    }

    static void sleep(final double seconds) {
        try {
            TimeUnit.MICROSECONDS.sleep(Math.max(0, Math.round(seconds * 1e6)));
        } catch (final InterruptedException interrupted) {
            throw new IllegalStateException(interrupted);
        }
    }

    void sleepUntil(final double time) {
        sleep(time - now());
    }

    /** A machine with a disk that runs a controller and a gateway. */
    final class Machine {
        final int index;
        final String ip;
        private final Map<String, Process> processes = new LinkedHashMap<>();

        Machine(final int index) {
            this.index = index;
            this.ip = net + (index + 1);
        }

        String name() {
            return "machine-" + (index + 1);
        }

        String frontend() {
            return ip + ":" + ports[0];
        }

        String controlPlane() {
            return ip + ":" + ports[2];
        }

        synchronized void start(final boolean bootstrap) throws IOException {
            for (final String role : List.of("controller", "gateway")) {
                start(role, bootstrap);
            }
        }

        private void start(final String role, final boolean bootstrap) throws IOException {
            final Path data = folder.resolve("data-" + role + "-" + index);
            Files.createDirectories(data);
            final Path settings = folder.resolve(role + "-" + index + ".conf");
            Files.writeString(settings, settings(role, data, bootstrap));
            final ProcessBuilder builder = new ProcessBuilder(commands.get(role));
            builder.directory(root.toFile());
            builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            builder.environment().put("SILVERLATCH_BOOT", settings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(
                    folder.resolve(role + "-" + index + ".log").toFile()));
            processes.put(role, builder.start());
        }

        private String settings(final String role, final Path data, final boolean bootstrap) {
            final StringBuilder text = new StringBuilder();
            text.append("nodeName=").append(name()).append("\nrole=").append(role).append('\n');
            text.append("machineType=edge\nserves=");
            text.append(role.equals("controller") ? "control_plane" : "edge,registry").append('\n');
            text.append("ipAddress=").append(ip).append("\nzone=").append(ZONES[index]);
            text.append("\nregion=").append(REGIONS[index]).append('\n');
            for (int i = 0; i < ZONES.length; i++) {
                text.append("zones.").append(ZONES[i]).append('=').append(REGIONS[i]).append('\n');
            }
            final String[] names = {"frontend", "readiness", "controlPlane", "directory"};
            for (int i = 0; i < names.length; i++) {
                if (role.equals("controller") == names[i].equals("controlPlane")) {
                    text.append("listenAddresses.").append(names[i]).append('=');
                    text.append(ip).append(':').append(ports[i]).append('\n');
                }
            }
            text.append("internalPortRange=").append(ports[4]).append(',').append(ports[4] + 15).append('\n');
            text.append("seedNodes=").append(String.join(
                    ",", machines.stream().map(Machine::controlPlane).toList())).append('\n');
            text.append("bootstrap=").append(bootstrap).append("\ncountsTowardQuorum=true\n");
            text.append("limits.cpuShare=0.675\nlimits.cpuCores=2\nlimits.memoryMb=430\nlimits.maxOpenFiles=4100\n");
            text.append("limits.linkMbps=1000.0\nlimits.diskMb=64\ndataDirectory=").append(data).append('\n');
            text.append("discoverySource=self_registration\nentryType=registry\nheartbeatIntervalMs=1200\n");
            text.append("contracts=base,drain,config,cost,retry,recover,engine,stream,places\n");
            text.append("faultTolerance.machineLosses=1\nfaultTolerance.zones=1\nfaultTolerance.regionLosses=1\n");
            final String[] bounds = {
                "seedLagS=3", "addressReuseS=2", "contactWindowMs=4000", "ackTimeoutMs=5000", "catchUpS=4",
                "drainTimeoutMs=3000", "gracePeriodS=8", "lossSlackMs=200", "configApplyMs=3000",
                "rollbackSlackMs=250", "maxStretchMs=6000", "retryBudgetRatio=0.2", "retryWindowS=10",
                "retryBudgetSlack=60", "coldOverage=1.5", "coldSlack=5", "evacuationMs=5000", "recoveryS=12",
                "passTimeoutMs=400", "ttl_max_s=5"
            };
            for (final String bound : bounds) {
                text.append("bounds.").append(bound).append('\n');
            }
            return text.toString();
        }

        /** Sends a signal to both processes of this machine. */
        synchronized void signal(final String signal) throws IOException, InterruptedException {
            final StringBuilder command = new StringBuilder("kill -" + signal);
            processes.values().forEach(process -> command.append(' ').append(process.pid()));
            if (new ProcessBuilder("bash", "-c", command.toString()).inheritIO().start().waitFor() != 0) {
                throw new IOException("the signal " + signal + " could not be sent");
            }
        }

        /** Empties the data directories; the processes must have ended. */
        void loseDisk() throws IOException {
            for (final String role : processes.keySet()) {
                removeTree(folder.resolve("data-" + role + "-" + index));
            }
        }

        /** Kills both processes. */
        synchronized void kill() {
            processes.values().forEach(Process::destroyForcibly);
        }

        synchronized void awaitEnd() throws InterruptedException {
            for (final Process process : processes.values()) {
                process.waitFor();
            }
        }
    }

    /** Sends a request over a new connection and reads the response to its end; status 0 if that takes longer than the timeout. */
    static Reply call(
            final String address, final String method, final String path, final String headers, final String body, final int timeoutMs) {
        return call(address, method, path, headers, body, timeoutMs, timeoutMs);
    }

    /** Like the other method, but also gives up, and closes the connection, once no byte has come for a time. */
    private static Reply call(
            final String address,
            final String method,
            final String path,
            final String headers,
            final String body,
            final int timeoutMs,
            final int silenceMs) {
        final String host = address.substring(0, address.indexOf(':'));
        final int port = Integer.parseInt(address.substring(address.indexOf(':') + 1));
        final long deadline = System.nanoTime() + timeoutMs * 1_000_000L;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(host, port), timeoutMs);
            final byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            final String head = method + " " + path + " HTTP/1.1\r\n" + (headers.contains("Host:") ? "" : "Host: " + address + "\r\n")
                    + "Connection: close\r\n" + headers + (method.equals("GET") ? "" : "Content-Length: " + bytes.length + "\r\n") + "\r\n";
            final OutputStream out = socket.getOutputStream();
            out.write((head + body).getBytes(StandardCharsets.UTF_8));
            out.flush();
            final ByteArrayOutputStream received = new ByteArrayOutputStream();
            final InputStream in = socket.getInputStream();
            final byte[] buffer = new byte[8192];
            while (true) {
                final long left = (deadline - System.nanoTime()) / 1_000_000L;
                if (left <= 0) {
                    return new Reply(0, "no answer in time");
                }
                socket.setSoTimeout((int) Math.min(left, silenceMs));
                final int count = in.read(buffer);
                if (count < 0) {
                    break;
                }
                received.write(buffer, 0, count);
                if (isComplete(received.toString(StandardCharsets.ISO_8859_1))) {
                    break;
                }
            }
            final String text = received.toString(StandardCharsets.UTF_8);
            if (!text.startsWith("HTTP/1.1 ")) {
                return new Reply(0, "closed without an answer");
            }
            final boolean cut = text.toLowerCase(Locale.ROOT).contains("transfer-encoding: chunked") && !text.endsWith("0\r\n\r\n");
            return new Reply(cut ? 0 : Integer.parseInt(text.substring(9, 12)), cut ? "cut short" : text.substring(text.indexOf("\r\n\r\n") + 4));
        } catch (final IOException failure) {
            return new Reply(0, failure.getClass().getSimpleName());
        }
    }

    /** Returns whether a response with a Content-Length is complete. */
    private static boolean isComplete(final String response) {
        final int end = response.indexOf("\r\n\r\n");
        final String length = end < 0 ? "" : header(response.substring(0, end), "content-length", "");
        return !length.isEmpty() && response.length() >= end + 4 + Integer.parseInt(length);
    }

    /**
     * Sends a call to the control plane as the operator and the workers do: calls one machine after the other, each with a second of silence at most, until one answers
     * with a 2xx or the time is up. Returns when the order was acknowledged, or a negative number if it was not.
     */
    double order(final List<Machine> callees, final String method, final String path, final String headers, final String body, final double maxSeconds) {
        return order(callees, method, path, headers, body, maxSeconds, Double.MAX_VALUE);
    }

    /** Like the other method, with a longest pause in seconds. */
    double order(
            final List<Machine> callees,
            final String method,
            final String path,
            final String headers,
            final String body,
            final double maxSeconds,
            final double maxPause) {
        final double until = now() + maxSeconds;
        double pause = 0.05;
        for (int i = 0; now() < until; i++) {
            final Machine callee = callees.get(i % callees.size());
            note("control: " + method + " " + path + " to " + callee.name());
            final Reply reply = call(callee.controlPlane(), method, path, headers, body, OPERATOR_SILENCE_MS);
            note("control: " + method + " " + path + " at " + callee.name() + " -> " + (reply.status() == 0 ? reply.body() : "" + reply.status()));
            if (reply.status() >= 200 && reply.status() < 300) {
                return now();
            }
            sleep(pause);
            pause = Math.min(maxPause, 2 * pause);
        }
        return -1;
    }

    /** A worker: an HTTP/1.1 server that announces itself, and answers each request that expects it with a short stream of events. */
    final class Worker {
        final String id;
        final String service;
        final String zone;
        final List<Arrival> arrivals = new CopyOnWriteArrayList<>();
        private final ServerSocket server;
        private final AtomicInteger calls = new AtomicInteger();
        private volatile boolean announces = true;
        private volatile String state = "in_service";
        private volatile int target;
        Worker(final String id, final String service, final int zoneIndex) throws IOException {
            this.id = id;
            this.service = service;
            this.zone = ZONES[zoneIndex];
            this.target = zoneIndex;
            this.server = new ServerSocket(0, 200, InetAddress.getByName(net + (100 + workers.size())));
            workers.add(this);
            daemon(this::accept);
            daemon(this::announce);
        }

        String address() {
            return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
        }

        private void accept() {
            while (!closed) {
                try {
                    final Socket socket = server.accept();
                    daemon(() -> serve(socket));
                } catch (final IOException failure) {
                    return;
                }
            }
        }

        private void announce() {
            while (!closed && announces) {
                sleep(report() ? 1.2 : 0.1);
            }
        }

        /** Sends a report; returns whether it was acknowledged. If not, the next one goes to the next machine. */
        private synchronized boolean report() {
            if (!announces) {
                return false;
            }
            final String body = "{\"backendService\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"" + zone
                    + "\",\"revision\":\"v1\",\"slots\":128,\"state\":\"" + state + "\",\"coldRemainingMs\":0,\"callCount\":" + calls.incrementAndGet() + "}";
            final Reply reply = call(machines.get(target).controlPlane(), "PUT", "/silverlatch/instances/" + id,
                    "Content-Type: application/json\r\n", body, 1_000);
            final boolean acknowledged = reply.status() / 100 == 2;
            if (!acknowledged) {
                target = (target + 1) % machines.size();
            }
            return acknowledged;
        }

        /** Reports that this worker is draining, again and again until that is acknowledged; returns when it was. */
        synchronized double drain() {
            state = "draining";
            note("worker " + id + " reports that it is draining");
            while (!report()) {
                sleep(0.1);
            }
            note("worker " + id + " has its acknowledgement");
            return now();
        }

        /** Sends no further reports, and says that this worker is gone until that is acknowledged; returns when it was. Requests are still served. */
        synchronized double end() {
            announces = false;
            final List<Machine> callees = new ArrayList<>(machines);
            Collections.rotate(callees, -target);
            return order(callees, "DELETE", "/silverlatch/instances/" + id, "", "", 5);
        }

        private void serve(final Socket socket) {
            try (socket) {
                final BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
                final OutputStream out = socket.getOutputStream();
                while (true) {
                    final String head = readHead(in);
                    if (head.isEmpty()) {
                        return;
                    }
                    in.readNBytes(Integer.parseInt(header(head, "content-length", "0")));
                    respond(head, out);
                }
            } catch (final IOException failure) {
                // The caller closed the connection.
            }
        }

        private void respond(final String head, final OutputStream out) throws IOException {
            final String attempt = header(head, "x-silverlatch-attempt-id", "");
            if (head.startsWith("GET ")) {
                write(out, "HTTP/1.1 200 OK\r\nX-Silverlatch-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
                return;
            }
            if (!header(head, "x-silverlatch-expected-instance", id).equals(id)) {
                write(out, "HTTP/1.1 421 Misdirected Request\r\nX-Silverlatch-Attempt-Id: " + attempt + "\r\nContent-Length: 0\r\n\r\n");
                return;
            }
            arrivals.add(new Arrival(now(), attempt, id));
            note("worker " + id + " in " + zone + " runs " + attempt);
            write(out, "HTTP/1.1 200 OK\r\nX-Silverlatch-Attempt-Id: " + attempt + "\r\nX-Silverlatch-Server-Seal: s." + id + "." + attempt
                    + "\r\nX-Silverlatch-Instance-Load: 1,0,128\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            final String[] tokens = header(head, "x-silverlatch-token-usage", "0,0").split(",");
            final int events = Integer.parseInt(tokens[1]) / TOKENS_PER_EVENT;
            for (int event = 1; event <= events; event++) {
                final String text = "id: " + event + "\ndata: " + id + "\n\n";
                write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
                sleep(EVENT_GAP_S);
            }
            write(out, "0\r\n\r\n");
        }
    }

    private static void write(final OutputStream out, final String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    private static String readHead(final InputStream in) throws IOException {
        final StringBuilder head = new StringBuilder();
        while (head.length() < 4 || !head.substring(head.length() - 4).equals("\r\n\r\n")) {
            final int next = in.read();
            if (next < 0) {
                return "";
            }
            head.append((char) next);
        }
        return head.toString();
    }

    static String header(final String head, final String name, final String defaultValue) {
        for (final String line : head.split("\r\n")) {
            if (line.toLowerCase(Locale.ROOT).startsWith(name + ":")) {
                return line.substring(name.length() + 1).strip();
            }
        }
        return defaultValue;
    }

    /** Sends requests of a route at a steady rate to all gateways in turn, from now until a time. */
    void traffic(final Kind kind, final double perSecond, final double until) {
        traffic(kind, perSecond, until, machines);
    }

    /** Sends requests of a route at a steady rate to the gateways of some machines in turn, from now until a time. */
    void traffic(final Kind kind, final double perSecond, final double until, final List<Machine> gateways) {
        daemon(() -> {
            for (int i = 0; !closed && now() < until; i++) {
                final Machine machine = gateways.get(i % gateways.size());
                daemon(() -> request(kind, machine));
                sleep(1 / perSecond);
            }
        });
    }

    private void request(final Kind kind, final Machine machine) {
        final String id = String.format("%016x", IDS.incrementAndGet());
        final double sentAt = now();
        note("client sends " + id + " for " + kind.host() + " to " + machine.name());
        final String headers = "Host: " + kind.host() + "\r\nX-Silverlatch-Attempt-Id: " + id + "\r\nX-Silverlatch-Deadline-Ms: " + kind.timeoutMs()
                + "\r\nX-Silverlatch-Token-Usage: 800," + kind.events() * TOKENS_PER_EVENT + "\r\nContent-Type: application/json\r\n";
        final Reply reply = call(machine.frontend(), "POST", "/a/" + id, headers, "{}", kind.timeoutMs(), kind.silenceMs());
        final String outcome = reply.status() == 0 ? reply.body() : "" + reply.status();
        note("client gets " + outcome + " for " + id);
        answers.add(new Answer(sentAt, id, kind.host(), machine.name(), now(), outcome));
    }

    /** Returns a configuration with one streaming route for each kind of request. */
    static String configuration(final int revision, final List<Kind> kinds) {
        final List<String> routes = new ArrayList<>();
        final Set<String> services = new LinkedHashSet<>();
        for (final Kind kind : kinds) {
            routes.add("{\"name\":\"r-" + kind.host() + "\",\"hostname\":\"" + kind.host() + "\",\"pathPrefix\":\"/a/\",\"routeType\":\"streaming\",\"timeoutMs\":"
                    + kind.timeoutMs() + ",\"targetLatencyMs\":" + kind.aimMs() + ",\"priority\":" + kind.priority() + ",\"backendService\":\"" + kind.service()
                    + "\",\"maxAttempts\":1,\"sessionAffinity\":false,\"resumable\":false,\"targetGapMs\":400,\"allowedRegions\":[]}");
            services.add("{\"name\":\"" + kind.service() + "\",\"healthCheckPath\":\"/health\",\"maxConnections\":640,\"protocol\":\"h1\",\"tls\":false,"
                    + "\"coldStartS\":3.0,\"coldRateS\":9.2,\"engine\":{\"slots\":128,\"kvCacheTokens\":175335,\"stride\":5}}");
        }
        return "{\"revision\":" + revision + ",\"routeRules\":[" + String.join(",", routes) + "],\"backendServices\":[" + String.join(",", services)
                + "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
    }

    /**
     * Starts all machines, puts the first configuration, and waits until each gateway serves a request of each kind.
     *
     * @throws IllegalStateException if that takes too long
     */
    void startFleet(final List<Kind> kinds) throws IOException {
        for (final Machine machine : machines) {
            machine.start(true);
        }
        sleep(2);
        if (order(machines, "PUT", "/silverlatch/configuration", "If-Match: 0\r\nContent-Type: application/json\r\n", configuration(1, kinds), 20) < 0) {
            throw new IllegalStateException("the first configuration was not acknowledged");
        }
        final double until = now() + 20;
        for (final Machine machine : machines) {
            for (final Kind kind : kinds) {
                while (true) {
                    request(kind, machine);
                    if (answers.get(answers.size() - 1).outcome().equals("200")) {
                        break;
                    }
                    if (now() > until) {
                        throw new IllegalStateException(machine.name() + " does not serve " + kind.host());
                    }
                    sleep(0.3);
                }
            }
        }
        note("the fleet serves");
    }

    private static void daemon(final Runnable task) {
        final Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private static void removeTree(final Path tree) throws IOException {
        try (var paths = Files.walk(tree)) {
            for (final Path path : paths.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(path);
            }
        }
    }

    /** Ends all processes and removes the temporary folder, unless the variable KEEP names a folder to which the logs are moved. */
    @Override
    public synchronized void close() {
        if (closed) {
            return;
        }
        closed = true;
        try {
            for (final Machine machine : machines) {
                machine.kill();
            }
            for (final Machine machine : machines) {
                machine.awaitEnd();
            }
            if (System.getenv("KEEP") != null) {
                new ProcessBuilder("cp", "-r", folder.toString(), System.getenv("KEEP")).start().waitFor();
            }
            removeTree(folder);
        } catch (final IOException | InterruptedException failure) {
            System.err.println("the temporary folder could not be removed: " + failure);
        }
        record.flush();
    }
}
