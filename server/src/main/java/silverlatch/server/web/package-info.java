/**
 * HTTP servers on Jetty: {@link silverlatch.server.web.ApiServer} for one address with whole bodies, and
 * {@link silverlatch.server.web.MultiListenerServer} for several with a handler each.
 */
package silverlatch.server.web;
