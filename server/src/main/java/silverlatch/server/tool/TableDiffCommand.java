package silverlatch.server.tool;

/** Prints the rows and cells of the current table that a file would change, without changing them. */
final class TableDiffCommand implements ToolCommand {
    private final byte[] file;

    TableDiffCommand(final byte[] file) {
        this.file = file.clone();
    }

    @Override
    public ExitCode run(final ApiClient client, final Console console) {
        return switch (DocumentFetch.fetch("/v1/table", client, console)) {
            case DocumentFetch.Failed failed -> failed.code();
            case DocumentFetch.Fetched table -> print(TableDifference.between(table.document(), file), console);
        };
    }

    private static ExitCode print(final TableDifference difference, final Console console) {
        return switch (difference) {
            case TableDifference.Invalid invalid -> {
                invalid.faults().forEach(console.err()::println);
                yield ExitCode.REJECTED;
            }
            case TableDifference.Computed computed -> {
                computed.lines().forEach(console.out()::println);
                console.out().println(computed.lines().size() + " differences from sequence " + computed.revision());
                yield ExitCode.DONE;
            }
        };
    }
}
