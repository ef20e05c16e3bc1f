package silverlatch.server.tool;

/** A command of the operators' tool, with its arguments. */
interface ToolCommand {
    /** Sends the command's requests, prints the result and returns the exit code. */
    ExitCode run(ApiClient client, Console console);
}
