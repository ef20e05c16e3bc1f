package silverlatch.simulation.explore;

/** A violation of a property and the schedule that leads to it. */
public record Finding(Violation violation, Schedule schedule) {}
