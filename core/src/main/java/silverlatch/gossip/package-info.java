/**
 * Propagates the replicated state, the workers and the membership among the nodes of a fleet: changes are pushed,
 * while freshness is renewed by pulls. {@link silverlatch.gossip.Gossip} is the entry point. It holds a copy of the
 * state ({@code StateCopy}), and the workers either as they announced themselves to any node ({@code
 * AnnouncedWorkers}) or as reported through controllers ({@code WorkerReports}, {@code AntiEntropy}). See {@code
 * docs/notes/gossip.md}.
 */
package silverlatch.gossip;
