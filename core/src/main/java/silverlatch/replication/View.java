package silverlatch.replication;

import java.util.List;
import java.util.Optional;
import silverlatch.util.Lists;

/**
 * Who replicates the control state, as a majority of the voters of the view before has agreed. Each number is decided once.
 *
 * @param number         its number, also the fencing token of the singleton's owner
 * @param fleet          the identity of the cluster, drawn when it was founded
 * @param voters         who votes on the next view and grants leases
 * @param chain          the members in the order in which entries pass, from head to tail
 * @param singletonOwner the identity of the member that owns the singleton role
 */
public record View(long number, long fleet, List<Replica> voters, List<Replica> chain, String singletonOwner) {
    /** The view before the cluster is founded. */
    public static final View NONE = new View(0, 0, List.of(), List.of(), "");

    /** Copies the lists. */
    public View {
        voters = List.copyOf(voters);
        chain = List.copyOf(chain);
    }

    /** Whether so many voters are more than half. */
    public boolean isMajority(final int count) {
        return count * 2 > voters.size();
    }

    /** Whether an identity votes here. */
    public boolean isVoter(final String id) {
        return voters.stream().anyMatch(voter -> voter.id().equals(id));
    }

    /** The position in the chain from the head on, or -1. */
    public int positionOf(final String id) {
        for (int i = 0; i < chain.size(); i++) {
            if (chain.get(i).id().equals(id)) {
                return i;
            }
        }
        return -1;
    }

    /** The next member of the chain. */
    public Optional<Replica> successorOf(final String id) {
        final int position = positionOf(id);
        return position < 0 || position + 1 >= chain.size() ? Optional.empty() : Optional.of(chain.get(position + 1));
    }

    /** The member of the chain before this one. */
    public Optional<Replica> predecessorOf(final String id) {
        final int position = positionOf(id);
        return position <= 0 ? Optional.empty() : Optional.of(chain.get(position - 1));
    }

    /** The head, where writes enter. */
    public Optional<Replica> head() {
        return chain.stream().findFirst();
    }

    /** The tail, which commits writes and answers reads. */
    public Optional<Replica> tail() {
        return chain.isEmpty() ? Optional.empty() : Optional.of(Lists.last(chain));
    }

    /** The member of the chain that owns the singleton role, where there is a chain. */
    public Optional<Replica> owner() {
        return chain.stream()
                .filter(member -> member.id().equals(singletonOwner))
                .findFirst();
    }

    /** The addresses of the chain's members in their order, for log lines. */
    List<String> chainAddresses() {
        return chain.stream().map(Replica::address).toList();
    }
}
