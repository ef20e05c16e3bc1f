/**
 * The core of every process of a fleet, without input or output: {@link silverlatch.node.Node} takes what happened (a frame, a
 * tick, a synced write) and hands out what is to be done ({@link silverlatch.node.Effect}, {@link
 * silverlatch.node.OutgoingFrame}). {@link silverlatch.node.Event} numbers the events that the log shows to operators.
 */
package silverlatch.node;
