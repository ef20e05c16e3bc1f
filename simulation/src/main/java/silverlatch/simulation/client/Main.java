package silverlatch.simulation.client;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.HttpClient;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import silverlatch.server.eventloop.EventLoop;

/**
 * Load generator that simulates all clients: sends requests of mixed kinds at a given rate (an open load), verifies each
 * response and writes a receipt for each request into a file.
 */
public final class Main {
    private static final long MAX_RESPONSE_MICROS = 20_000_000L;
    private static final double MICROS_PER_SECOND = 1e6;

    @Option(name = "--doors", required = true)
    private String endpoints = "";

    @Option(name = "--seconds")
    private int seconds = 10;

    @Option(name = "--rate", usage = "requests per second")
    private int requestsPerSecond = 50;

    @Option(name = "--tenants", required = true, usage = "NAME:KEY,...")
    private String tenants = "";

    @Option(name = "--kinds", required = true, usage = "KIND:WEIGHT:PIECES:PREFIX:ONCE,...")
    private String kinds = "";

    @Option(name = "--receipts", required = true)
    private String receipts = "";

    @Option(name = "--seed")
    private long seed = 1;

    @Option(name = "--crowd", usage = "factor by which the request rate rises in the middle third")
    private int spikeFactor = 1;

    @Option(name = "--again", usage = "one in so many at-most-once requests is sent again under its key")
    private int duplicateEvery = 10;

    private final HttpClient httpClient = new HttpClient();

    private Main() {}

    /** Runs a load; exits with 1 if a response was wrong or a request didn't end, and with 2 on invalid arguments. */
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
        final Receipts outcomes = new Receipts(Path.of(receipts));
        httpClient.setMaxConnectionsPerDestination(2_048);
        httpClient.setConnectTimeout(1_000);
        httpClient.start();
        sendRequests(outcomes);
        final long end = EventLoop.nowMicros() + MAX_RESPONSE_MICROS;
        while (outcomes.hasOpenRequests() && EventLoop.nowMicros() < end) {
            TimeUnit.MILLISECONDS.sleep(20);
        }
        outcomes.print();
        httpClient.stop();
        return outcomes.isGood() ? 0 : 1;
    }

    private void sendRequests(final Receipts outcomes) throws InterruptedException {
        final LoadPlan plan = new LoadPlan(tenants, kinds, seed);
        final long start = EventLoop.nowMicros();
        final double length = seconds * MICROS_PER_SECOND;
        double due = 0;
        for (long number = 0; due < length; number++) {
            final boolean isMiddle = due > length / 3 && due < length * 2 / 3;
            due += MICROS_PER_SECOND / requestsPerSecond / (isMiddle ? spikeFactor : 1);
            final long wait = start + (long) due - EventLoop.nowMicros();
            if (wait > 0) {
                TimeUnit.MICROSECONDS.sleep(wait);
            }
            final LoadPlan.Content content = plan.next(number);
            send(content, plan, outcomes);
            if (!content.idempotencyKey().isEmpty() && plan.isDrawn(duplicateEvery)) {
                send(content, plan, outcomes);
            }
        }
    }

    private void send(final LoadPlan.Content content, final LoadPlan plan, final Receipts outcomes) {
        new TrackedRequest(httpClient, outcomes, content, List.of(endpoints.split(",")), plan.nextSeed()).start();
    }
}
