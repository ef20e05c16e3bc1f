/**
 * The operators' command silverlatch: words become a {@code ToolCommand}, which sends requests through {@code ApiClient} and prints
 * the replies. Docs: docs/operating.md.
 */
package silverlatch.server.tool;
