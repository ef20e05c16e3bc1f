package silverlatch.server.tool;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import silverlatch.json.JsonDocument;

/** Prints the JSON of a reply as text: each field on a line, and each element of a list on a line of its own. */
final class ReplyPrinter {
    /** The largest reply that is parsed, in bytes. */
    static final int MAX_DOCUMENT_BYTES = 64 << 20;

    private static final int GATEWAY_TIMEOUT = 504;
    private static final int FIRST_REDIRECTION = 300;

    /** Whole doubles of a smaller absolute value are printed without a fraction. */
    private static final double MAX_WHOLE_DOUBLE = 1e15;

    private final Console console;

    ReplyPrinter(final Console console) {
        this.console = console;
    }

    /** Returns the exit code for an HTTP status. */
    static ExitCode exitCode(final int status) {
        if (status < FIRST_REDIRECTION) {
            return ExitCode.DONE;
        }
        return status == GATEWAY_TIMEOUT ? ExitCode.OUTCOME_UNKNOWN : ExitCode.REJECTED;
    }

    /**
     * Prints a reply and returns the exit code for its status.
     *
     * @param verbatimIfDone whether a successful reply is printed unchanged even if the console isn't set to verbatim
     */
    ExitCode print(final ApiClient.Result.Replied reply, final boolean verbatimIfDone) {
        final ExitCode code = exitCode(reply.status());
        if (console.verbatim() || verbatimIfDone && code == ExitCode.DONE) {
            console.out().println(reply.text());
            return code;
        }
        switch (JsonDocument.parse(reply.text().getBytes(StandardCharsets.UTF_8), MAX_DOCUMENT_BYTES)) {
            case JsonDocument.ParseResult.Invalid invalid -> console.error(reply.status() + " " + reply.text());
            case JsonDocument.ParseResult.Valid valid -> {
                final Map<String, Object> fields =
                        new LinkedHashMap<>(valid.document().asMap());
                if (code == ExitCode.DONE) {
                    printFields("", fields, console.out());
                } else {
                    console.error(fields.getOrDefault("outcome", "rejected") + " (" + reply.status() + ")");
                    printFields("  ", fields, console.err());
                }
            }
        }
        return code;
    }

    private static void printFields(final String indent, final Map<?, ?> fields, final PrintStream stream) {
        fields.forEach((name, value) -> {
            if (value instanceof List<?> list && !list.isEmpty()) {
                stream.println(indent + name + ":");
                list.forEach(element -> stream.println(
                        indent + "  " + (element instanceof Map<?, ?> object ? oneLine(object) : "" + element)));
            } else if (value instanceof Map<?, ?> object) {
                stream.println(indent + name + ": " + oneLine(object));
            } else {
                stream.println(indent + name + ": " + scalar(value));
            }
        });
    }

    private static String oneLine(final Map<?, ?> object) {
        return object.entrySet().stream()
                .map(field -> field.getKey() + "=" + scalar(field.getValue()))
                .collect(Collectors.joining("  "));
    }

    private static String scalar(final Object value) {
        if (value instanceof Double number && number == Math.rint(number) && Math.abs(number) < MAX_WHOLE_DOUBLE) {
            return "" + number.longValue();
        }
        return "" + value;
    }
}
