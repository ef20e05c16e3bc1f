/**
 * How the nodes of a fleet come to know the replicated state, the workers and each other: changes are pushed, freshness is
 * pulled. {@link silverlatch.gossip.Gossip} is the entry; it holds a copy of the state ({@code StateCopy}), and the workers
 * either as announced to any node ({@code AnnouncedWorkers}) or as reported through controllers ({@code WorkerReports},
 * {@code AntiEntropy}). See {@code docs/notes/gossip.md}.
 */
package silverlatch.gossip;
