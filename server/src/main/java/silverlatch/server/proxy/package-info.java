/**
 * The reverse proxy of a gateway: {@link silverlatch.server.proxy.ProxyServer} receives requests, lets the router choose a worker
 * for each by host and path, and forwards the worker's response. A response is accepted only if it echoes the id of its request,
 * and a success only with the worker's seal. A request that may have been executed is never sent again unless its route is
 * idempotent.
 */
package silverlatch.server.proxy;
