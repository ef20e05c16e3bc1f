package silverlatch.server.tool;

/** One command of the operators' tool, ready to run. */
interface ToolCommand {
    /** Sends what the command has to send, and prints what came of it. */
    ExitCode run(ApiClient client, Console console);
}
