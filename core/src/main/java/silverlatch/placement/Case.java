package silverlatch.placement;

import java.util.List;
import java.util.Set;
import silverlatch.state.Value;

/**
 * A ticket as the judges see it.
 *
 * @param ticket its id
 * @param tenant whose it is
 * @param row    the weights and limits for it
 * @param prefix salted digests of its prefix, shortest first
 * @param zone   the carrier's zone
 * @param region the carrier's region
 * @param empty  the zones that are being emptied
 */
public record Case(
        String ticket,
        Value.Tenant tenant,
        Value.Row row,
        List<Long> prefix,
        String zone,
        String region,
        Set<String> empty) {
    /** Copies the collections. */
    public Case {
        prefix = List.copyOf(prefix);
        empty = Set.copyOf(empty);
    }
}
