package silverlatch.routing;

/**
 * A worker that may run a request.
 *
 * @param worker     the worker
 * @param prediction what is predicted for the request there
 * @param isEjected  whether the worker is ejected now, so that others go before it
 * @param rankCost   the cost that candidates are ordered by, in microseconds: the predicted one, and more where the worker
 *                   is ejected or its region can't be reached
 */
record Candidate(WorkerState worker, LatencyPredictor.Prediction prediction, boolean isEjected, long rankCost) {}
