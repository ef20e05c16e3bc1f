/**
 * Tracks which nodes belong to the fleet and which of them are alive, by a protocol similar to SWIM. {@link
 * silverlatch.membership.Membership} is the entry point; {@link silverlatch.membership.MemberState} defines the
 * states of a member and their transitions. See {@code docs/notes/gossip.md}.
 */
package silverlatch.membership;
