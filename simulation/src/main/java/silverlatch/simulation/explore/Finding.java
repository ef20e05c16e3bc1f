package silverlatch.simulation.explore;

/** A broken property and the schedule that breaks it. */
public record Finding(Violation violation, Schedule schedule) {}
