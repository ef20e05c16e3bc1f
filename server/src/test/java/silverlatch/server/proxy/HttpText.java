package silverlatch.server.proxy;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;

/** Creates and parses HTTP/1.1 messages as text with one character per byte. */
final class HttpText {
    static final String EVENT_STREAM_HEADERS = "Transfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n";

    private HttpText() {}

    static String read(final InputStream in) throws IOException {
        final ByteArrayOutputStream all = new ByteArrayOutputStream();
        while (!all.toString(StandardCharsets.ISO_8859_1).contains("\r\n\r\n")) {
            final int next = in.read();
            if (next < 0) {
                throw new IOException("gone");
            }
            all.write(next);
        }
        final String head = all.toString(StandardCharsets.ISO_8859_1);
        final Optional<Integer> size = head.lines()
                .filter(l -> l.toLowerCase(Locale.ROOT).startsWith("content-length:"))
                .map(l -> Integer.parseInt(l.substring(15).strip()))
                .findFirst();
        return head + new String(in.readNBytes(size.orElse(0)), StandardCharsets.ISO_8859_1);
    }

    static String header(final String request, final String name) {
        return request.lines()
                .filter(l -> l.toLowerCase(Locale.ROOT).startsWith(name.toLowerCase(Locale.ROOT) + ":"))
                .map(l -> l.substring(name.length() + 1).strip())
                .findFirst()
                .orElse("");
    }

    static String successHead(final String request) {
        return "HTTP/1.1 200 OK\r\nSilverlatch-Ticket: " + header(request, "Silverlatch-Ticket")
                + "\r\nSilverlatch-Seal: s\r\n";
    }

    static String chunk(final String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    static String event(final int id) {
        return chunk("id: " + id + "\ndata: piece " + id + "\n\n");
    }

    static String failure(final String request, final String status, final String extraHeaders) {
        return "HTTP/1.1 " + status + "\r\nSilverlatch-Ticket: " + header(request, "Silverlatch-Ticket")
                + "\r\nSilverlatch-Seal: s\r\n" + extraHeaders + "Content-Length: 0\r\n\r\n";
    }
}
