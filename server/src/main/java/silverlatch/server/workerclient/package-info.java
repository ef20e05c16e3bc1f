/**
 * The client by which the dispatcher has workers execute requests of the product's own API, and the format of their streams
 * (docs/worker-format.md). The proxy has a client of its own.
 */
package silverlatch.server.workerclient;
