/**
 * Event loops: a thread that owns a state machine, its queue of tasks and its ticks. {@link
 * silverlatch.server.eventloop.EventLoopHandle} runs a node on one and performs its effects.
 */
package silverlatch.server.eventloop;
