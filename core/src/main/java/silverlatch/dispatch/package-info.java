/**
 * Dispatches requests that clients submit through the product's own API. The package does no I/O:
 * {@link silverlatch.dispatch.Dispatcher} receives events (a client's call, a record from a worker, a timer tick) and returns the
 * actions that the gateway has to take ({@link silverlatch.dispatch.DispatchEffect}).
 *
 * <p>A request is placed, which yields a {@link silverlatch.dispatch.permit.Permit}; it is submitted with that permit, queued in
 * weighted fair order, attempted at a worker, and retained for some time after it has ended. If it has an idempotency key, the
 * key is claimed in the replicated state before the first attempt. {@link silverlatch.dispatch.RetryBudget} and
 * {@link silverlatch.dispatch.TraceLog} are also used by {@code silverlatch.routing}.
 */
package silverlatch.dispatch;
