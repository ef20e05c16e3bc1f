package silverlatch.simulation.explore;

/** A violated property and a description of the violation. */
public record Violation(Property property, String detail) {}
