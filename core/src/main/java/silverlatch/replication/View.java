package silverlatch.replication;

import java.util.List;
import java.util.Optional;
import silverlatch.util.Lists;

/** The agreed view: its number (also the fencing number), the fleet, the voters, the chain's order, the duty holder. */
public record View(long number, long fleet, List<Replica> voters, List<Replica> chain, String singletonOwner) {
    /** The view before any founding. */
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

    /** The place in the chain, or -1. */
    public int positionOf(final String id) {
        for (int i = 0; i < chain.size(); i++) {
            if (chain.get(i).id().equals(id)) {
                return i;
            }
        }
        return -1;
    }

    /** Who follows in the chain. */
    public Optional<Replica> successorOf(final String id) {
        final int position = positionOf(id);
        return position < 0 || position + 1 >= chain.size() ? Optional.empty() : Optional.of(chain.get(position + 1));
    }

    /** Who stands before in the chain. */
    public Optional<Replica> predecessorOf(final String id) {
        final int position = positionOf(id);
        return position <= 0 ? Optional.empty() : Optional.of(chain.get(position - 1));
    }

    /** The head, where writes enter. */
    public Optional<Replica> head() {
        return chain.stream().findFirst();
    }

    /** The tail, which answers. */
    public Optional<Replica> tail() {
        return chain.isEmpty() ? Optional.empty() : Optional.of(Lists.last(chain));
    }

    /** The addresses of the chain's members in their order, for log lines. */
    List<String> chainAddresses() {
        return chain.stream().map(Replica::address).toList();
    }
}
