package silverlatch.placement;

/** Scores workers for requests by one criterion. Implementations are immutable and pure. */
public interface Scorer {
    /** The name of its scores in traces, recorded days and the API. */
    String name();

    /** Its weight by the request's row of the table; 0 where it only vetoes. */
    double weight(PlacementContext context);

    /** Its score of a worker for a request, or why the worker can't be taken. */
    ScorerResult score(PlacementContext context, PlacementInput candidate);
}
