package silverlatch.placement;

/** Scores workers for requests by one criterion. Implementations are immutable and free of side effects. */
public interface Scorer {
    /** Returns the name of the scores in traces, recorded days and the API. */
    String name();

    /** Returns the weight of this scorer according to the request's table row; 0 if it only vetoes. */
    double weight(PlacementContext context);

    /** Returns the score of a worker for a request, or why the worker can't be chosen. */
    ScorerResult score(PlacementContext context, PlacementInput candidate);
}
