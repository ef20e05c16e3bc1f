/**
 * Frames between processes over TCP: one outgoing connection to each address, and a reader for each that comes in. Frames may be
 * lost; what needs an answer asks again.
 */
package silverlatch.server.transport;
