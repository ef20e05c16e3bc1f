package silverlatch.server.proxy;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Reads responses as a strict HTTP/1.1 client does, and determines whether they look complete. */
final class HttpResponseReader {
    private HttpResponseReader() {}

    /** How a response ended. */
    enum End {
        /** Completely, by its length, its last chunk, or the end of the connection if it has neither. */
        COMPLETE,
        /** Before its end. */
        TRUNCATED,
        /** No byte of it was received. */
        NOTHING,
        /** It doesn't begin with a valid status line. */
        GARBAGE
    }

    /** A response as far as it was received. */
    record Message(End end, int status, List<String> headers, String body, String raw) {
        /** Returns all values of a header field. */
        List<String> values(final String name) {
            final String start = name.toLowerCase(Locale.ROOT) + ":";
            return headers.stream()
                    .filter(h -> h.toLowerCase(Locale.ROOT).startsWith(start))
                    .map(h -> h.substring(start.length()).strip())
                    .toList();
        }

        /** Returns whether no further response can follow on the connection. */
        boolean closes() {
            return end != End.COMPLETE || values("Connection").contains("close");
        }
    }

    /** Reads one response; never throws. */
    static Message read(final InputStream in) {
        final ByteArrayOutputStream raw = new ByteArrayOutputStream();
        final List<String> headers = new ArrayList<>();
        final ByteArrayOutputStream body = new ByteArrayOutputStream();
        int status = 0;
        try {
            final String first = readLine(in, raw);
            if (!first.matches("HTTP/1\\.1 [1-5]\\d\\d( .*)?")) {
                return new Message(End.GARBAGE, 0, headers, "", text(raw));
            }
            status = Integer.parseInt(first.substring(9, 12));
            String header = readLine(in, raw);
            while (!header.isEmpty()) {
                headers.add(header);
                header = readLine(in, raw);
            }
            final Message head = new Message(End.TRUNCATED, status, headers, "", "");
            if (status == 204 || status == 304) {
                return new Message(End.COMPLETE, status, headers, "", text(raw));
            }
            if (head.values("Transfer-Encoding").contains("chunked")) {
                readChunks(in, raw, body);
            } else if (!head.values("Content-Length").isEmpty()) {
                readBytes(
                        in,
                        raw,
                        body,
                        Integer.parseInt(head.values("Content-Length").get(0)));
            } else {
                readToEnd(in, raw, body);
            }
            return new Message(End.COMPLETE, status, headers, text(body), text(raw));
        } catch (final IOException | NumberFormatException failure) {
            return new Message(raw.size() == 0 ? End.NOTHING : End.TRUNCATED, status, headers, text(body), text(raw));
        }
    }

    private static void readChunks(
            final InputStream in, final ByteArrayOutputStream raw, final ByteArrayOutputStream body)
            throws IOException {
        int size = Integer.parseInt(readLine(in, raw), 16);
        while (size > 0) {
            readBytes(in, raw, body, size);
            readLine(in, raw);
            size = Integer.parseInt(readLine(in, raw), 16);
        }
        readLine(in, raw);
    }

    private static void readBytes(
            final InputStream in, final ByteArrayOutputStream raw, final ByteArrayOutputStream body, final int count)
            throws IOException {
        for (int i = 0; i < count; i++) {
            body.write(readByte(in, raw));
        }
    }

    private static void readToEnd(
            final InputStream in, final ByteArrayOutputStream raw, final ByteArrayOutputStream body)
            throws IOException {
        for (int next = in.read(); next >= 0; next = in.read()) {
            raw.write(next);
            body.write(next);
        }
    }

    private static String readLine(final InputStream in, final ByteArrayOutputStream raw) throws IOException {
        final StringBuilder line = new StringBuilder();
        while (line.length() < 2 || line.charAt(line.length() - 1) != '\n') {
            line.append((char) readByte(in, raw));
        }
        return line.substring(0, line.length() - 2);
    }

    private static int readByte(final InputStream in, final ByteArrayOutputStream raw) throws IOException {
        final int next = in.read();
        if (next < 0) {
            throw new EOFException();
        }
        raw.write(next);
        return next;
    }

    private static String text(final ByteArrayOutputStream bytes) {
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }
}
