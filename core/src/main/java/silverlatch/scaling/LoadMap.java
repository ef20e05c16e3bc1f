package silverlatch.scaling;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.ToDoubleFunction;
import silverlatch.traffic.GatewayDemand;

/**
 * Distributes the load of one pool over zones: the load of a gateway counts for its own zone; if that has no worker
 * that takes requests, for the other zones of its region; and if these have none, for all zones. Immutable.
 */
final class LoadMap {
    private final Map<String, String> regionByZone;
    private final Map<String, Load> loads = new HashMap<>();

    /**
     * Distributes the demand for a pool.
     *
     * @param pool         the name of the pool
     * @param demand       the demand by gateway
     * @param growth       the factor by which the demand of a region is assumed to grow
     * @param regionByZone the regions of the zones that take requests, by zone
     */
    LoadMap(
            final String pool,
            final List<GatewayDemand> demand,
            final ToDoubleFunction<String> growth,
            final Map<String, String> regions) {
        this.regionByZone = Map.copyOf(regions);
        demand.forEach(gateway -> distribute(
                Load.of(gateway, pool).times(growth.applyAsDouble(gateway.region())), zonesServing(gateway)));
    }

    private List<String> zonesServing(final GatewayDemand gateway) {
        if (regionByZone.containsKey(gateway.zone())) {
            return List.of(gateway.zone());
        }
        final List<String> zonesOfRegion = zonesIn(gateway.region());
        return zonesOfRegion.isEmpty() ? List.copyOf(regionByZone.keySet()) : zonesOfRegion;
    }

    private void distribute(final Load load, final List<String> zones) {
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

    /** Returns the largest load that the loss of another zone or region would add to a zone. */
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
