package silverlatch.routing;

/**
 * A worker that is eligible for a request.
 *
 * @param worker     the worker
 * @param prediction the prediction for the request at this worker
 * @param isEjected  whether the worker is ejected now, so that other workers are preferred
 * @param rankCost   the cost by which candidates are ordered, in microseconds: the predicted cost, plus a penalty if
 *                   the worker is ejected or its region is unreachable
 */
record Candidate(WorkerState worker, LatencyPredictor.Prediction prediction, boolean isEjected, long rankCost) {}
