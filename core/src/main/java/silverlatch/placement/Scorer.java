package silverlatch.placement;

/** One small view on a placement. */
public interface Scorer {
    /** The name under which its findings are told. */
    String name();

    /** Its weight in a row of the table. */
    double weight(PlacementContext context);

    /** What it finds. */
    ScorerResult score(PlacementContext context, PlacementInput candidate);
}
