/**
 * Recordings of a gateway's placements, and the program replay, which decides them again under the same table or another one.
 */
package silverlatch.server.replay;
