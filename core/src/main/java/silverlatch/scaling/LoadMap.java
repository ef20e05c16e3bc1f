package silverlatch.scaling;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.ToDoubleFunction;
import silverlatch.traffic.GatewayDemand;

/**
 * Where the load of one pool falls: on the zone of the gateway that it came to, or, where that has no worker that takes requests, on the
 * other zones of its region, or else on all. Immutable.
 */
final class LoadMap {
    private final Map<String, String> regions;
    private final Map<String, Load> loads = new HashMap<>();

    /**
     * Spreads the demand for a pool.
     *
     * @param growth  by which factor the demand of a gateway's region is taken to grow
     * @param regions the regions of the zones that take requests, by zone
     */
    LoadMap(
            final String pool,
            final List<GatewayDemand> demand,
            final ToDoubleFunction<String> growth,
            final Map<String, String> regions) {
        this.regions = Map.copyOf(regions);
        demand.forEach(gateway ->
                spread(Load.of(gateway, pool).times(growth.applyAsDouble(gateway.region())), zonesFor(gateway)));
    }

    private List<String> zonesFor(final GatewayDemand gateway) {
        if (regions.containsKey(gateway.zone())) {
            return List.of(gateway.zone());
        }
        final List<String> near = zonesIn(gateway.region());
        return near.isEmpty() ? List.copyOf(regions.keySet()) : near;
    }

    private void spread(final Load load, final List<String> zones) {
        zones.forEach(zone -> loads.merge(zone, load.times(1.0 / zones.size()), Load::plus));
    }

    private List<String> zonesIn(final String region) {
        return regions.keySet().stream()
                .filter(zone -> regions.get(zone).equals(region))
                .toList();
    }

    Load ofZone(final String zone) {
        return loads.getOrDefault(zone, Load.NONE);
    }

    private Load ofRegion(final String region) {
        return zonesIn(region).stream().map(this::ofZone).reduce(Load.NONE, Load::plus);
    }

    /** What would come to a zone in addition if the zone or region were lost whose loss brings the most. */
    Load atWorstLoss(final String zone) {
        Load worst = Load.NONE;
        for (final String other : regions.keySet()) {
            worst = larger(worst, other.equals(zone) ? Load.NONE : movedFromZone(other, zone));
        }
        for (final String region : new TreeSet<>(regions.values())) {
            worst = larger(worst, region.equals(regions.get(zone)) ? Load.NONE : movedFromRegion(region));
        }
        return worst;
    }

    private Load movedFromZone(final String lost, final String zone) {
        final int siblings = zonesIn(regions.get(lost)).size() - 1;
        if (siblings == 0) {
            return movedFromRegion(regions.get(lost));
        }
        return regions.get(lost).equals(regions.get(zone)) ? ofZone(lost).times(1.0 / siblings) : Load.NONE;
    }

    private Load movedFromRegion(final String lost) {
        final int others = regions.size() - zonesIn(lost).size();
        return ofRegion(lost).times(1.0 / Math.max(1, others));
    }

    private static Load larger(final Load one, final Load other) {
        return one.requests() >= other.requests() ? one : other;
    }
}
