/**
 * The reverse proxy of a gateway: {@link silverlatch.server.proxy.ProxyServer} reads requests by host and path, asks the router where
 * each is to go, and forwards responses. A response is believed only if it echoes the id of its request and bears the worker's
 * seal; a request that may have been executed is never sent again unless its route is idempotent.
 */
package silverlatch.server.proxy;
