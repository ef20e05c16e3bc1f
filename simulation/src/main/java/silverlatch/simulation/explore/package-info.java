/**
 * Explores the replicated part of the control plane: breadth first over hashed states, and by seeded random walks with few
 * scheduling changes. Properties are checked at every state, and histories of operations for linearizability.
 */
package silverlatch.simulation.explore;
