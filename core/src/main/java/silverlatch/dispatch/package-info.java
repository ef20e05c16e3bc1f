/**
 * Requests that come by the product's own API, without input or output: {@link silverlatch.dispatch.Dispatcher} takes events
 * (a call, a worker's record, a tick) and hands out what is to be done ({@link silverlatch.dispatch.DispatchEffect}). A request
 * is placed ({@link silverlatch.dispatch.permit.Permit}), submitted, queued in weighted fair order, claimed where it has an
 * idempotency key, attempted at a worker, and kept for a while after its end. {@link silverlatch.dispatch.RetryBudget} and
 * {@link silverlatch.dispatch.TraceLog} also serve {@code silverlatch.routing}.
 */
package silverlatch.dispatch;
