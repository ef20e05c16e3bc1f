package silverlatch.server.tool;

import java.nio.charset.StandardCharsets;
import silverlatch.json.JsonDocument;

/** The result of fetching a JSON document that a command processes instead of printing it as it is. */
sealed interface DocumentFetch {
    /** The document was fetched. */
    record Fetched(JsonDocument document) implements DocumentFetch {}

    /** The document could not be fetched. The reason has been printed already. */
    record Failed(ExitCode code) implements DocumentFetch {}

    /** Fetches the document at a path of the API, and prints the error if that fails. */
    static DocumentFetch fetch(final String path, final ApiClient client, final Console console) {
        return switch (client.send(ApiRequest.get(path))) {
            case ApiClient.Result.Replied replied -> evaluate(replied, console);
            case ApiClient.Result.NotReached failed -> {
                console.error(failed.reason());
                yield new Failed(ExitCode.NOT_REACHED);
            }
            case ApiClient.Result.OutcomeUnknown failed -> {
                console.error(failed.reason());
                yield new Failed(ExitCode.OUTCOME_UNKNOWN);
            }
        };
    }

    private static DocumentFetch evaluate(final ApiClient.Result.Replied reply, final Console console) {
        final ExitCode code = ReplyPrinter.exitCode(reply.status());
        final byte[] body = reply.text().getBytes(StandardCharsets.UTF_8);
        if (code == ExitCode.DONE
                && JsonDocument.parse(body, ReplyPrinter.MAX_DOCUMENT_BYTES)
                        instanceof JsonDocument.ParseResult.Valid valid) {
            return new Fetched(valid.document());
        }
        console.err().println(reply.text());
        return new Failed(code);
    }
}
