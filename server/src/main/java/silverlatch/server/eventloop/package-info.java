/**
 * Event loops. An event loop is a thread with a queue of tasks and a periodic tick; it is the only thread that accesses the state machine
 * it runs. {@link silverlatch.server.eventloop.EventLoopHandle} runs a node on an event loop and performs the node's effects.
 */
package silverlatch.server.eventloop;
