/**
 * Recordings of a gateway's placement decisions, and the program replay, which repeats the decisions with the same table or another one.
 */
package silverlatch.server.replay;
