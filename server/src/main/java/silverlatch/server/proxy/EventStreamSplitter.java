package silverlatch.server.proxy;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Splits an event stream (text/event-stream) after complete events, and remembers the id of the last one. Used by one thread at a time. */
final class EventStreamSplitter {
    private static final String ID_FIELD = "id:";
    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private String lastEventId = "";

    /** Takes bytes of the stream and returns all up to the end of the last complete event; empty if none is complete. */
    byte[] split(final byte[] bytes) {
        pending.writeBytes(bytes);
        final byte[] all = pending.toByteArray();
        final int end = endOfLastEvent(all);
        if (end == 0) {
            return new byte[0];
        }
        pending.reset();
        pending.write(all, end, all.length - end);
        readLastEventId(new String(all, 0, end, StandardCharsets.ISO_8859_1));
        return Arrays.copyOf(all, end);
    }

    /** The id of the last complete event that has one, or empty. */
    String lastEventId() {
        return lastEventId;
    }

    /** What came after the last complete event. */
    byte[] remainder() {
        return pending.toByteArray();
    }

    private void readLastEventId(final String events) {
        final int afterNewline = events.lastIndexOf("\n" + ID_FIELD) + 1;
        if (afterNewline > 0 || events.startsWith(ID_FIELD)) {
            final int value = afterNewline + ID_FIELD.length();
            lastEventId = events.substring(value, events.indexOf('\n', value)).strip();
        }
    }

    /** The position after the last empty line, or 0; lines end with LF or CR LF. */
    private static int endOfLastEvent(final byte[] all) {
        for (int i = all.length - 1; i > 0; i--) {
            final boolean endsWithTwoNewlines = all[i] == '\n' && all[i - 1] == '\n';
            final boolean endsWithCarriageReturn = i > 2 && all[i] == '\n' && all[i - 1] == '\r' && all[i - 2] == '\n';
            if (endsWithTwoNewlines || endsWithCarriageReturn) {
                return i + 1;
            }
        }
        return 0;
    }
}
