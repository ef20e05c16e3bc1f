package silverlatch.placement;

/** One small view on a placement. */
public interface Scorer {
    /** The name under which its findings are told. */
    String name();

    /** Its weight in a row of the table. */
    double weight(Case ticket);

    /** What it finds. */
    ScorerResult weigh(Case ticket, PlacementInput worker);
}
