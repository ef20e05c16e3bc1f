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
    private final Map<String, String> regionByZone;
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
        this.regionByZone = Map.copyOf(regions);
        demand.forEach(gateway ->
                spread(Load.of(gateway, pool).times(growth.applyAsDouble(gateway.region())), zonesServing(gateway)));
    }

    private List<String> zonesServing(final GatewayDemand gateway) {
        if (regionByZone.containsKey(gateway.zone())) {
            return List.of(gateway.zone());
        }
        final List<String> near = zonesIn(gateway.region());
        return near.isEmpty() ? List.copyOf(regionByZone.keySet()) : near;
    }

    private void spread(final Load load, final List<String> zones) {
        zones.forEach(zone -> loads.merge(zone, load.times(1.0 / zones.size()), Load::plus));
    }

    private List<String> zonesIn(final String region) {
        return regionByZone.keySet().stream()
                .filter(zone -> regionByZone.get(zone).equals(region))
                .toList();
    }

    Load ofZone(final String zone) {
        return loads.getOrDefault(zone, Load.NONE);
    }

    private Load ofRegion(final String region) {
        return zonesIn(region).stream().map(this::ofZone).reduce(Load.NONE, Load::plus);
    }

    /** What would come to a zone in addition if the zone or region were lost whose loss brings the most. */
    Load addedByWorstLoss(final String zone) {
        Load worst = Load.NONE;
        for (final String other : regionByZone.keySet()) {
            worst = larger(worst, other.equals(zone) ? Load.NONE : movedFromZone(other, zone));
        }
        for (final String region : new TreeSet<>(regionByZone.values())) {
            worst = larger(worst, region.equals(regionByZone.get(zone)) ? Load.NONE : movedFromRegion(region));
        }
        return worst;
    }

    private Load movedFromZone(final String lost, final String zone) {
        final int remainingZones = zonesIn(regionByZone.get(lost)).size() - 1;
        if (remainingZones == 0) {
            return movedFromRegion(regionByZone.get(lost));
        }
        return regionByZone.get(lost).equals(regionByZone.get(zone))
                ? ofZone(lost).times(1.0 / remainingZones)
                : Load.NONE;
    }

    private Load movedFromRegion(final String lost) {
        final int remainingZones = regionByZone.size() - zonesIn(lost).size();
        return ofRegion(lost).times(1.0 / Math.max(1, remainingZones));
    }

    private static Load larger(final Load one, final Load other) {
        return one.requests() >= other.requests() ? one : other;
    }
}
