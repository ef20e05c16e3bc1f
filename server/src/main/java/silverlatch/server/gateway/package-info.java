/**
 * The program {@code gateway}: its process, the event loop of dispatcher and router ({@code DispatchLoop}), the product's own HTTP API
 * and the operators' pages.
 */
package silverlatch.server.gateway;
