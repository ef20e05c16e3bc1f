package silverlatch.node;

import java.util.ArrayList;
import java.util.List;

/** Watches whole nodes for states that are older than they may be. */
final class ConsistencyMonitor {
    private final List<String> violations = new ArrayList<>();
    private final List<Acknowledged> acknowledged = new ArrayList<>();

    List<String> violations() {
        return List.copyOf(violations);
    }

    /** Notes that a configuration was acknowledged to its caller. */
    void acknowledged(final long number, final long now) {
        acknowledged.add(new Acknowledged(now, number));
    }

    /** What was acknowledged so far. */
    List<Acknowledged> acknowledged() {
        return List.copyOf(acknowledged);
    }

    /**
     * What a node calls the newest as of a moment must hold all that was acknowledged before that moment.
     *
     * @param localNow the moment by the monotonic clock of the node's machine
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

    /** The configuration by which a gateway routes must never become older within one process; 0 is none. */
    void checkServedRevision(final String name, final long newestServed, final long served, final long now) {
        if (served > 0 && served < newestServed) {
            violations.add(name + " went back from " + newestServed + " to " + served + " at " + now);
        }
    }

    /** A configuration that was acknowledged at a moment. */
    record Acknowledged(long at, long number) {}
}
