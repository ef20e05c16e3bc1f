package silverlatch.server.proxy;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import silverlatch.util.Threads;

/** A worker on a real socket whose behaviour is chosen at random for each request, by seed. */
final class ScriptedWorker implements Closeable {
    private static final AtomicInteger SEALS = new AtomicInteger();
    private static final String STRAY_RESPONSE =
            "HTTP/1.1 200 OK\r\nSilverlatch-Ticket: %s\r\nSilverlatch-Seal: forged\r\nContent-Length: 6\r\n\r\nFORGED";
    final String id;
    private final long seed;
    private final ExchangeLog log;
    private final ServerSocket server;
    private final AtomicReference<String> previousRequestId = new AtomicReference<>("none");

    /** What a worker does with a request that it has read; a stray response is a forged one with the id of an earlier request. */
    enum Behaviour {
        GOOD, // sends a correct response
        STRAY_BEHIND, // sends a correct response, followed by a stray one in the same write
        STRAY_LATER, // sends a correct response, and a stray one 2 ms later
        HALF_STRAY_BEHIND, // sends a correct response, followed by the first half of a stray one in the same write
        DOUBLED, // sends a correct response twice in the same write
        EARLIER_FIRST, // sends a stray response before the correct one
        OTHER_ID, // sends a success with the id of another request
        TWO_IDS, // sends a success with a second request id
        UNSEALED, // sends a success without a seal
        REFUSAL_WITHOUT_ID_FIRST, // sends a rejection without request id and seal before the correct response
        REFUSAL_WITHOUT_ID, // sends a rejection without a request id, although it executed the request
        MISDIRECTED_WITHOUT_ID, // sends status 421 without a request id, although it executed the request
        NOT_EXECUTED, // rejects the request with the statement that it was not executed
        MISDIRECTED, // rejects the request with status 421, as if it was addressed to another worker
        RETRY_STATUS, // sends status 503 without the statement that the request was not executed
        FAILURE, // sends status 500
        EMPTY_FAILURE_CUT, // sends status 500 with a body shorter than its Content-Length, and closes the connection
        REDIRECT, // sends a redirect
        HALF_HEAD, // sends a part of the headers, and closes or resets the connection
        RESET_BEFORE, // resets the connection without a response
        HEAD_ONLY, // sends status and headers only, and closes or resets the connection
        RESET_MIDWAY, // sends half of the body, and resets the connection
        END_MIDWAY, // sends half of the body, and closes the connection
        CLOSE_DELIMITED, // sends half of a body without any framing, and closes the connection
        TWO_FRAMINGS, // sends a success with both Content-Length and Transfer-Encoding
        INTERIM_FIRST, // sends an interim response with status 100 before the correct one
        GARBAGE, // sends bytes that aren't HTTP, and closes the connection
        LARGE_HEAD, // sends a success whose headers exceed the proxy's limit
        SILENT, // sends nothing until the proxy closes the connection, or for 10 s
        FORGET; // sends a correct response, and resets the connection when the next request arrives

        /** Returns whether bytes follow a complete response in the same write. */
        boolean leavesBytes() {
            return this == STRAY_BEHIND || this == HALF_STRAY_BEHIND || this == DOUBLED;
        }

        /** Returns whether exactly one complete response with a status other than 200 is written. */
        boolean isFailureStatus() {
            return switch (this) {
                case REFUSAL_WITHOUT_ID,
                        MISDIRECTED_WITHOUT_ID,
                        NOT_EXECUTED,
                        MISDIRECTED,
                        RETRY_STATUS,
                        FAILURE,
                        REDIRECT -> true;
                default -> false;
            };
        }
    }

    ScriptedWorker(final String id, final long seed, final ExchangeLog log) throws IOException {
        this.id = id;
        this.seed = seed;
        this.log = log;
        this.server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        Threads.startDaemon("scripted-worker", this::accept);
    }

    int port() {
        return server.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                final Socket socket = server.accept();
                Threads.startDaemon("scripted-worker-connection", () -> serve(socket));
            } catch (final IOException failure) {
                return;
            }
        }
    }

    private record ReceivedRequest(String method, String path, String head, String body) {
        String header(final String name) {
            return head.lines()
                    .filter(l -> l.toLowerCase(Locale.ROOT).startsWith(name.toLowerCase(Locale.ROOT) + ":"))
                    .map(l -> l.substring(name.length() + 1).strip())
                    .findFirst()
                    .orElse("");
        }
    }

    private void serve(final Socket socket) {
        try (socket) {
            final InputStream in = new BufferedInputStream(socket.getInputStream());
            String leftover = "";
            while (true) {
                final ReceivedRequest received = read(in);
                final String requestId = received.header("Silverlatch-Ticket");
                if (!leftover.isEmpty()) {
                    log.reuses.add(id + " got " + requestId + " on a connection after " + leftover);
                }
                final Behaviour behaviour = drawBehaviour(requestId);
                leftover = behaviour.leavesBytes()
                        ? behaviour + " to " + requestId + " " + received.path() + " resumed at "
                                + received.header("Last-Event-Id") + " chunked " + (requestId.hashCode() % 2 == 0)
                        : "";
                if (!executeAndReply(socket, received, behaviour)) {
                    return;
                }
                previousRequestId.set(received.header("Silverlatch-Ticket"));
                if (behaviour == Behaviour.FORGET) {
                    in.mark(1);
                    if (in.read() >= 0) {
                        socket.setSoLinger(true, 0);
                    }
                    return;
                }
            }
        } catch (final IOException failure) {
            Thread.yield();
        }
    }

    /** Chooses the behaviour: GOOD in at least half of all cases, and always the same for the same request at the same worker. */
    private Behaviour drawBehaviour(final String requestId) {
        final SplittableRandom random = new SplittableRandom(seed * 31 + (id + requestId).hashCode());
        random.nextLong();
        final Behaviour[] all = Behaviour.values();
        return random.nextInt(2) == 0 ? Behaviour.GOOD : all[random.nextInt(all.length)];
    }

    private boolean executeAndReply(final Socket socket, final ReceivedRequest received, final Behaviour behaviour)
            throws IOException {
        final String requestId = received.header("Silverlatch-Ticket");
        final String seal = "seal-" + SEALS.incrementAndGet() + "-";
        final String lastEventId = received.header("Last-Event-Id");
        final String body = received.path().startsWith("/again/")
                ? requestId + " " + seal + " " + "x".repeat(1 + Math.abs(requestId.hashCode() % 3_000))
                : events(requestId, seal, lastEventId.isEmpty() ? 0 : Integer.parseInt(lastEventId));
        final boolean executed = behaviour != Behaviour.NOT_EXECUTED && behaviour != Behaviour.MISDIRECTED;
        final int status = status(behaviour);
        final boolean complete = !(behaviour == Behaviour.RESET_MIDWAY
                || behaviour == Behaviour.END_MIDWAY
                || behaviour == Behaviour.CLOSE_DELIMITED
                || behaviour == Behaviour.HEAD_ONLY);
        final String responseBody = status == 200 ? body : "failure " + seal;
        log.addRun(new ExchangeLog.Run(
                id,
                requestId,
                received.head(),
                received.path(),
                received.body(),
                lastEventId,
                seal,
                behaviour,
                executed,
                status,
                responseBody,
                complete));
        return reply(socket, requestId, seal, responseBody, behaviour);
    }

    /** Returns the number of events in the stream of a request. */
    static int eventCount(final String requestId) {
        return 2 + Math.abs(requestId.hashCode() % 6);
    }

    private static String events(final String requestId, final String seal, final int lastEventId) {
        final StringBuilder text = new StringBuilder();
        for (int i = lastEventId + 1; i <= eventCount(requestId); i++) {
            text.append("id: ").append(i).append("\ndata: ").append(requestId).append(' ');
            text.append(seal).append(" piece ").append(i).append("\n\n");
        }
        return text.toString();
    }

    private static int status(final Behaviour behaviour) {
        return switch (behaviour) {
            case REFUSAL_WITHOUT_ID, NOT_EXECUTED, RETRY_STATUS -> 503;
            case MISDIRECTED_WITHOUT_ID, MISDIRECTED -> 421;
            case FAILURE, EMPTY_FAILURE_CUT -> 500;
            case REDIRECT -> 302;
            default -> 200;
        };
    }

    private static String head(final int status, final String requestId, final String seal) {
        return "HTTP/1.1 " + status + " Text\r\n"
                + (requestId.isEmpty() ? "" : "Silverlatch-Ticket: " + requestId + "\r\n")
                + (seal.isEmpty() ? "" : "Silverlatch-Seal: " + seal + "\r\n");
    }

    private static String length(final String body) {
        return "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private static String chunks(final String body) {
        final StringBuilder text = new StringBuilder("Transfer-Encoding: chunked\r\n\r\n");
        final int step = 1 + body.length() / 5;
        for (int from = 0; from < body.length(); from += step) {
            final String part = body.substring(from, Math.min(body.length(), from + step));
            text.append(Integer.toHexString(part.length()))
                    .append("\r\n")
                    .append(part)
                    .append("\r\n");
        }
        return text.append("0\r\n\r\n").toString();
    }

    /** Writes the reply of a behaviour; returns false if the connection must be closed then. */
    private boolean reply(
            final Socket socket,
            final String requestId,
            final String seal,
            final String body,
            final Behaviour behaviour)
            throws IOException {
        final boolean chunked = requestId.hashCode() % 2 == 0;
        final String good = head(200, requestId, seal) + (chunked ? chunks(body) : length(body));
        final Optional<String> text = behaviour.isFailureStatus()
                ? Optional.of(failureText(requestId, seal, body, behaviour))
                : wholeText(requestId, seal, body, good, behaviour);
        if (text.isPresent()) {
            write(socket.getOutputStream(), text.get());
            return true;
        }
        return replyInParts(socket, requestId, seal, body, good, behaviour);
    }

    /** Returns the reply of a behaviour that responds with a status other than 200. */
    private static String failureText(
            final String requestId, final String seal, final String body, final Behaviour behaviour) {
        return switch (behaviour) {
            case REFUSAL_WITHOUT_ID -> head(503, "", seal) + "Silverlatch-Not-Run: 1\r\n" + length(body);
            case MISDIRECTED_WITHOUT_ID -> head(421, "", seal) + length(body);
            case NOT_EXECUTED -> head(503, requestId, seal) + "Silverlatch-Not-Run: 1\r\n" + length(body);
            case MISDIRECTED -> head(421, requestId, seal) + length(body);
            case RETRY_STATUS -> head(503, requestId, seal) + length(body);
            case FAILURE -> head(500, requestId, seal) + length(body);
            case REDIRECT -> head(302, requestId, seal) + "Location: http://127.0.0.1:1/\r\n" + length(body);
            default -> throw new IllegalArgumentException("not a behaviour with a failure status: " + behaviour);
        };
    }

    /** Returns the reply of a behaviour that writes once and keeps the connection open; empty for the others. */
    private Optional<String> wholeText(
            final String requestId,
            final String seal,
            final String body,
            final String good,
            final Behaviour behaviour) {
        final String stray = strayResponse();
        return Optional.ofNullable(
                switch (behaviour) {
                    case GOOD, FORGET -> good;
                    case STRAY_BEHIND -> good + stray;
                    case HALF_STRAY_BEHIND -> good + stray.substring(0, stray.length() / 2);
                    case DOUBLED -> good + good;
                    case EARLIER_FIRST -> stray + good;
                    case OTHER_ID -> head(200, "somebody-elses", seal) + length("FORGED");
                    case TWO_IDS -> head(200, requestId, seal) + "Silverlatch-Ticket: x\r\n" + length("FORGED");
                    case UNSEALED -> head(200, requestId, "") + length("FORGED");
                    case REFUSAL_WITHOUT_ID_FIRST ->
                        head(503, "", "") + "Silverlatch-Not-Run: 1\r\n" + length("") + good;
                    case TWO_FRAMINGS -> head(200, requestId, seal) + "Content-Length: 3\r\n" + chunks(body);
                    case INTERIM_FIRST -> "HTTP/1.1 100 Continue\r\n\r\n" + good;
                    case LARGE_HEAD ->
                        head(200, requestId, seal) + "X-Large: " + "x".repeat(40_000) + "\r\n" + length(body);
                    default -> null;
                });
    }

    private String strayResponse() {
        return String.format(STRAY_RESPONSE, previousRequestId.get());
    }

    /** Writes the reply of a behaviour that pauses or closes the connection; returns false if the connection must be closed then. */
    private boolean replyInParts(
            final Socket socket,
            final String requestId,
            final String seal,
            final String body,
            final String good,
            final Behaviour behaviour)
            throws IOException {
        final OutputStream out = socket.getOutputStream();
        final String stray = strayResponse();
        final int bodyStart = good.indexOf("\r\n\r\n") + 4;
        switch (behaviour) {
            case STRAY_LATER -> {
                write(out, good);
                pause(2);
                write(out, stray);
                return true;
            }
            case EMPTY_FAILURE_CUT -> write(out, head(500, requestId, seal) + "Content-Length: 50\r\n\r\n" + body);
            case CLOSE_DELIMITED ->
                write(out, head(200, requestId, seal) + "\r\n" + body.substring(0, body.length() / 2));
            case GARBAGE -> write(out, "FORGED bytes of no protocol\r\n\r\n");
            case RESET_BEFORE -> {
                return closeOrReset(socket, "");
            }
            case HALF_HEAD -> {
                write(out, good.substring(0, 30));
                return closeOrReset(socket, requestId);
            }
            case HEAD_ONLY -> {
                write(out, good.substring(0, bodyStart));
                pause(5);
                return closeOrReset(socket, requestId);
            }
            case RESET_MIDWAY, END_MIDWAY -> {
                write(out, good.substring(0, bodyStart + (good.length() - bodyStart) / 2));
                pause(5);
                return behaviour == Behaviour.END_MIDWAY ? false : closeOrReset(socket, "");
            }
            case SILENT -> {
                socket.setSoTimeout(10_000);
                return socket.getInputStream().read() >= 0;
            }
            default -> throw new IllegalArgumentException("not a behaviour that replies in parts: " + behaviour);
        }
        return false;
    }

    /** Makes the close of the connection a reset if the selector's hash is even, as that of an empty text is; returns false. */
    private static boolean closeOrReset(final Socket socket, final String resetSelector) throws IOException {
        if (resetSelector.hashCode() % 2 == 0) {
            socket.setSoLinger(true, 0);
        }
        return false;
    }

    private static void pause(final long millis) throws IOException {
        try {
            Thread.sleep(millis);
        } catch (final InterruptedException failure) {
            throw new IOException(failure);
        }
    }

    private static void write(final OutputStream out, final String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    private static ReceivedRequest read(final InputStream in) throws IOException {
        final ByteArrayOutputStream all = new ByteArrayOutputStream();
        int newlines = 0;
        while (newlines < 2) {
            final int next = in.read();
            if (next < 0) {
                throw new EOFException();
            }
            all.write(next);
            newlines = next == '\n' ? newlines + 1 : next == '\r' ? newlines : 0;
        }
        final String head = all.toString(StandardCharsets.ISO_8859_1);
        final String[] first = head.substring(0, head.indexOf('\r')).split(" ");
        final ReceivedRequest received = new ReceivedRequest(first[0], first[1], head, "");
        final String size = received.header("Content-Length");
        final byte[] body = in.readNBytes(size.isEmpty() ? 0 : Integer.parseInt(size));
        if (!size.isEmpty() && body.length < Integer.parseInt(size)) {
            throw new EOFException();
        }
        return new ReceivedRequest(first[0], first[1], head, new String(body, StandardCharsets.ISO_8859_1));
    }
}
