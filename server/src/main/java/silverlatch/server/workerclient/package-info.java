/**
 * The HTTP client with which the dispatcher sends requests of the gateway's own API to workers, and the encoding of their response
 * streams (docs/worker-format.md). The proxy has a separate client.
 */
package silverlatch.server.workerclient;
