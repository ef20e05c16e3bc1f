/**
 * The core of every process of a fleet, without input or output. {@link silverlatch.node.Node} processes events (a
 * received frame, a tick, a synced write) and returns the resulting actions ({@link silverlatch.node.Effect}, {@link
 * silverlatch.node.OutgoingFrame}). {@link silverlatch.node.Event} numbers the events of the event log.
 */
package silverlatch.node;
