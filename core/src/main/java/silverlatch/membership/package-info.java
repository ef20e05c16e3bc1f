/**
 * Who is in the fleet and who is alive, in the manner of SWIM. {@link silverlatch.membership.Membership} is the entry; the
 * states of a member and their transitions are {@link silverlatch.membership.MemberState}. See {@code docs/notes/gossip.md}.
 */
package silverlatch.membership;
