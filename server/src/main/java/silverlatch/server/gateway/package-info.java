/**
 * The program {@code gateway}: its process, the event loop that owns the dispatcher and the router ({@code DispatchLoop}), the
 * gateway's own HTTP API, and the pages for operators.
 */
package silverlatch.server.gateway;
