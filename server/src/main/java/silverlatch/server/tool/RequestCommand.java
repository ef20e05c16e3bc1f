package silverlatch.server.tool;

/**
 * A command that is one request, whose reply is printed.
 *
 * @param verbatim whether a successful reply is printed as it came, whatever the console is set to
 */
record RequestCommand(ApiRequest request, boolean verbatim) implements ToolCommand {
    RequestCommand(final ApiRequest request) {
        this(request, false);
    }

    @Override
    public ExitCode run(final ApiClient client, final Console console) {
        return switch (client.send(request)) {
            case ApiClient.Result.Replied replied -> new ReplyPrinter(console).print(replied, verbatim);
            case ApiClient.Result.NotReached failed -> {
                console.error(failed.reason());
                yield ExitCode.NOT_REACHED;
            }
            case ApiClient.Result.OutcomeUnknown failed -> {
                console.error(failed.reason());
                yield ExitCode.OUTCOME_UNKNOWN;
            }
        };
    }
}
