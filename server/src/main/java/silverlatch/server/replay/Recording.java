package silverlatch.server.replay;

import java.util.List;
import java.util.Map;
import silverlatch.dispatch.DispatchEffect;

/**
 * A gateway's recorded placements and request outcomes.
 *
 * @param placements the placements in the order of their decisions
 * @param endStates  the final states of requests by request id
 */
record Recording(List<DispatchEffect.PlacementDecided> placements, Map<String, String> endStates) {
    /** Copies the collections. */
    Recording {
        placements = List.copyOf(placements);
        endStates = Map.copyOf(endStates);
    }
}
