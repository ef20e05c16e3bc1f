package silverlatch.server.replay;

import java.util.List;
import java.util.Map;
import silverlatch.dispatch.DispatchEffect;

/**
 * What a gateway recorded.
 *
 * @param placements in the order in which they were decided
 * @param endStates  how requests ended, by their id
 */
record Recording(List<DispatchEffect.PlacementDecided> placements, Map<String, String> endStates) {
    /** Copies the collections. */
    Recording {
        placements = List.copyOf(placements);
        endStates = Map.copyOf(endStates);
    }
}
