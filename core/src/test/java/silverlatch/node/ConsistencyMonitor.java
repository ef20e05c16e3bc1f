package silverlatch.node;

import java.util.ArrayList;
import java.util.List;

/** Records violations of the freshness guarantees of simulated nodes. */
final class ConsistencyMonitor {
    private final List<String> violations = new ArrayList<>();
    private final List<Acknowledged> acknowledged = new ArrayList<>();

    List<String> violations() {
        return List.copyOf(violations);
    }

    /** Records that a configuration was acknowledged to its caller. */
    void acknowledged(final long number, final long now) {
        acknowledged.add(new Acknowledged(now, number));
    }

    /** Returns the configurations acknowledged so far. */
    List<Acknowledged> acknowledged() {
        return List.copyOf(acknowledged);
    }

    /**
     * Checks that a state which a node considers the newest as of some time includes all configurations that were
     * acknowledged before that time.
     *
     * @param localNow the current time by the monotonic clock of the node's machine
     */
    void checkConfirmedState(final String name, final Node node, final long now, final long localNow) {
        final long age = node.gossip().stateAge(localNow);
        if (age == Long.MAX_VALUE) {
            return;
        }
        final long held = Configurations.numberHeld(node.gossip().stateMachine());
        acknowledged.stream()
                .filter(a -> a.at() <= now - age && a.number() > held)
                .findFirst()
                .ifPresent(a -> violations.add(name + " calls " + held + " the newest as of " + (now - age) + ", but "
                        + a.number() + " was acknowledged at " + a.at()));
    }

    /** Checks that a gateway process never returns to an older configuration; 0 means that it has none. */
    void checkServedRevision(final String name, final long newestServed, final long served, final long now) {
        if (served > 0 && served < newestServed) {
            violations.add(name + " went back from " + newestServed + " to " + served + " at " + now);
        }
    }

    /** A configuration and the time at which it was acknowledged. */
    record Acknowledged(long at, long number) {}
}
