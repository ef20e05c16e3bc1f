/**
 * Explores the states of the replicated part of the control plane, breadth first over hashed states and by seeded random walks
 * with few scheduling changes. Properties are checked in every state, and the histories of operations for linearizability.
 */
package silverlatch.simulation.explore;
