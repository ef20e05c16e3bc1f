package silverlatch.simulation.explore;

/** A property that was broken, and how. */
public record Violation(Property property, String detail) {}
