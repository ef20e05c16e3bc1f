/**
 * HTTP servers based on Jetty: {@link silverlatch.server.web.ApiServer} serves one address and buffers request bodies,
 * {@link silverlatch.server.web.MultiListenerServer} serves several addresses with a handler for each.
 */
package silverlatch.server.web;
