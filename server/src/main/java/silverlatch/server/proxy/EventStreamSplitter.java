package silverlatch.server.proxy;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** Cuts a stream into whole events, and remembers the id of the last whole one. */
final class EventStreamSplitter {
    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private String lastEventId = "";

    /** Takes bytes of the stream, and gives those that end whole events. */
    byte[] split(final byte[] bytes) {
        pending.writeBytes(bytes);
        final byte[] all = pending.toByteArray();
        final int end = endOfLastEvent(all);
        if (end == 0) {
            return new byte[0];
        }
        pending.reset();
        pending.write(all, end, all.length - end);
        final String text = new String(all, 0, end, StandardCharsets.ISO_8859_1);
        final int id = Math.max(
                text.startsWith("id:") ? 0 : -1,
                text.lastIndexOf("\nid:") + 1 > 0 ? text.lastIndexOf("\nid:") + 1 : -1);
        if (id >= 0) {
            lastEventId = text.substring(id + 3, text.indexOf('\n', id)).strip();
        }
        return java.util.Arrays.copyOf(all, end);
    }

    /** The id of the last whole event, or empty. */
    String lastEventId() {
        return lastEventId;
    }

    /** What is left behind the last whole event. */
    byte[] remainder() {
        return pending.toByteArray();
    }

    private static int endOfLastEvent(final byte[] all) {
        for (int i = all.length - 1; i > 0; i--) {
            final boolean plain = all[i] == '\n' && all[i - 1] == '\n';
            final boolean both = i > 2 && all[i] == '\n' && all[i - 1] == '\r' && all[i - 2] == '\n';
            if (plain || both) {
                return i + 1;
            }
        }
        return 0;
    }
}
