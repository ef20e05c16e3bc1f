/**
 * The operators' command line tool silverlatch. {@code CommandParser} parses the command line into a {@code ToolCommand}, which sends
 * requests through {@code ApiClient} and prints the replies. Docs: docs/operating.md.
 */
package silverlatch.server.tool;
