/**
 * Frames between processes over TCP: one outgoing connection per address, and a reader for each incoming connection. Frames may be lost;
 * a sender that needs a reply must retry.
 */
package silverlatch.server.transport;
