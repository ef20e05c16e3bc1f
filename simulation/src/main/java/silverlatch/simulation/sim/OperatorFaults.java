package silverlatch.simulation.sim;

import java.util.ArrayList;
import java.util.List;
import silverlatch.simulation.fleet.Plan;

/** Operator actions that conflict with each other or with requests in flight. Durations are microseconds. */
final class OperatorFaults {
    private OperatorFaults() {}

    static void zoneDrained(final World world, final long duration) {
        final String zone = world.randomOf(world.plan().regions()).zone();
        world.operators().drain(zone, true);
        world.disturbances()
                .scheduleChange(duration + 6_000_000, () -> world.operators().drain(zone, false));
    }

    static void commandHeld(final World world, final long duration) {
        final String zone = world.randomOf(world.plan().regions()).zone();
        final Operators operators = world.operators();
        operators.drain(zone, true);
        world.disturbances().scheduleChange(2_000_000, () -> operators.drain(zone, false));
        world.disturbances().scheduleChange(3_000_000, () -> operators.drain(zone, true));
        world.disturbances().scheduleChange(5_000_000, () -> operators.deliverHeldReturn(zone));
        world.disturbances().scheduleChange(duration + 14_000_000, () -> operators.drain(zone, false));
    }

    static void operatorsRace(final World world, final long duration) {
        final String zone = world.randomOf(world.plan().regions()).zone();
        for (int i = 0; i < 4; i++) {
            world.disturbances()
                    .scheduleChange(i * 700_000L, () -> world.operators().raceOnZone(zone));
        }
        world.disturbances()
                .scheduleChange(duration + 10_000_000, () -> world.operators().drain(zone, false));
    }

    static void tenantHomesChange(final World world, final long duration) {
        final List<Plan.Tenant> tenants = new ArrayList<>(world.plan().tenants());
        final Plan.Tenant moved = tenants.remove(world.scheduler().random().nextInt(tenants.size()));
        final Plan.Tenant removed = world.randomOf(tenants);
        final String region = world.randomOf(world.plan().regions()).region();
        world.load().setClientsMoving(true);
        world.operators().changeHomes(moved, List.of(region));
        world.disturbances().scheduleChange(500_000, () -> world.operators().removeTenant(removed));
        world.disturbances().scheduleChange(duration + 6_000_000, () -> {
            world.operators().changeHomes(moved, moved.homeRegions());
            world.operators().changeHomes(removed, removed.homeRegions());
            world.load().setClientsMoving(false);
        });
    }

    /** Writes about 300 routing configurations while the other load of the day continues. */
    static void configurationsRace(final World world, final long duration) {
        world.record("operators race on configurations");
        world.operators().configurations().run(duration + 20_000_000);
    }

    static void tableGrows(final World world, final long duration) {
        world.operators().growTable(3_000);
    }
}
