package silverlatch.replication;

import java.util.List;
import java.util.Optional;
import silverlatch.util.Lists;

/**
 * A numbered configuration of the replication group: its voters, its replication chain and the owner of the singleton role. A view is
 * decided by a majority of the voters of the previous view. For each number exactly one view is ever decided.
 *
 * @param number         the number of the view, starting at 1; it is also the fencing token of the owner of the singleton role
 * @param fleet          the identifier of the cluster, computed at bootstrap
 * @param voters         the replicas that vote on the next view and grant leases
 * @param chain          the members of the chain in replication order, from head to tail
 * @param singletonOwner the identity of the chain member that owns the singleton role
 */
public record View(long number, long fleet, List<Replica> voters, List<Replica> chain, String singletonOwner) {
    /** The placeholder for the installed view of a replica that doesn't know any view yet, for example before bootstrap. */
    public static final View NONE = new View(0, 0, List.of(), List.of(), "");

    /** Copies the lists. */
    public View {
        voters = List.copyOf(voters);
        chain = List.copyOf(chain);
    }

    /** Returns whether a number of voters is a majority of this view's voters. */
    public boolean isMajority(final int count) {
        return count * 2 > voters.size();
    }

    /** Returns whether the replica with this identity is a voter of this view. */
    public boolean isVoter(final String id) {
        return voters.stream().anyMatch(voter -> voter.id().equals(id));
    }

    /** Returns the position in the chain, where the head is 0, or -1 if the replica is not in the chain. */
    public int positionOf(final String id) {
        for (int i = 0; i < chain.size(); i++) {
            if (chain.get(i).id().equals(id)) {
                return i;
            }
        }
        return -1;
    }

    /** Returns the next member of the chain, or empty for the tail and for a replica outside the chain. */
    public Optional<Replica> successorOf(final String id) {
        final int position = positionOf(id);
        return position < 0 || position + 1 >= chain.size() ? Optional.empty() : Optional.of(chain.get(position + 1));
    }

    /** Returns the previous member of the chain, or empty for the head and for a replica outside the chain. */
    public Optional<Replica> predecessorOf(final String id) {
        final int position = positionOf(id);
        return position <= 0 ? Optional.empty() : Optional.of(chain.get(position - 1));
    }

    /** Returns the head, which admits writes, or empty if the chain is empty. */
    public Optional<Replica> head() {
        return chain.stream().findFirst();
    }

    /** Returns the tail, which commits writes and answers reads, or empty if the chain is empty. */
    public Optional<Replica> tail() {
        return chain.isEmpty() ? Optional.empty() : Optional.of(Lists.last(chain));
    }

    /** Returns the member of the chain that owns the singleton role, or empty if the chain is empty. */
    public Optional<Replica> owner() {
        return chain.stream()
                .filter(member -> member.id().equals(singletonOwner))
                .findFirst();
    }

    /** Returns the addresses of the chain's members, from head to tail, for log messages. */
    List<String> chainAddresses() {
        return chain.stream().map(Replica::address).toList();
    }
}
