package silverlatch.server.proxy;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/**
 * Splits an event stream (text/event-stream) after complete events, and tracks the id of the last complete event and the version
 * of the model weights that produced it. Must be used by one thread at a time.
 */
final class EventStreamSplitter {
    private static final String ID_FIELD = "id:";
    private final String weightVersionField;
    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private StreamPosition position = StreamPosition.START;

    /**
     * Creates a splitter. An event announces a changed weight version in a field of this name in lower case; the case of the
     * parameter does not matter.
     */
    EventStreamSplitter(final String weightVersionName) {
        this.weightVersionField = weightVersionName.toLowerCase(Locale.ROOT) + ":";
    }

    /**
     * Appends bytes of the stream and returns all buffered bytes up to the end of the last complete event; empty if no event is
     * complete.
     */
    byte[] split(final byte[] bytes) {
        pending.writeBytes(bytes);
        final byte[] all = pending.toByteArray();
        final int end = endOfLastEvent(all);
        if (end == 0) {
            return new byte[0];
        }
        pending.reset();
        pending.write(all, end, all.length - end);
        final String events = new String(all, 0, end, StandardCharsets.ISO_8859_1);
        position = position.advancedTo(
                new StreamPosition(lastField(events, ID_FIELD), lastField(events, weightVersionField)));
        return Arrays.copyOf(all, end);
    }

    /** Returns the position after the last complete event; its parts are empty if no event of this stream contained them. */
    StreamPosition position() {
        return position;
    }

    /** Returns the buffered bytes after the last complete event. */
    byte[] remainder() {
        return pending.toByteArray();
    }

    /** Returns the value of the last line with this field; empty if there is none or its value is blank. */
    private static Optional<String> lastField(final String events, final String field) {
        final int afterNewline = events.lastIndexOf("\n" + field) + 1;
        if (afterNewline == 0 && !events.startsWith(field)) {
            return Optional.empty();
        }
        final int value = afterNewline + field.length();
        return Optional.of(events.substring(value, events.indexOf('\n', value)).strip())
                .filter(text -> !text.isEmpty());
    }

    /** Returns the offset after the last empty line, or 0 if there is none; lines end with LF or CR LF. */
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
