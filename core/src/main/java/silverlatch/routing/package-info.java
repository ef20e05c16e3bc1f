/**
 * Routes requests by host and path, without doing input or output. {@link silverlatch.routing.Router} handles events
 * and returns the {@link silverlatch.routing.RoutingEffect effects} to apply. It looks up the route, draws a backend
 * pool by weight, chooses the worker with the lowest predicted time to the first event, and retries where the route
 * allows it.
 */
package silverlatch.routing;
