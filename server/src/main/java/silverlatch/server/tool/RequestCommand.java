package silverlatch.server.tool;

/**
 * A command that sends one request and prints the reply.
 *
 * @param verbatim whether a successful reply is printed unchanged even if the console isn't set to verbatim
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
