/**
 * Requests that come by host and path, without input or output: {@link silverlatch.routing.Router} takes events and hands out
 * what is to be done ({@link silverlatch.routing.RoutingEffect}). It finds the route, draws a backend pool by weight, chooses
 * the worker whose first event is predicted to come soonest, and retries where the route allows it.
 */
package silverlatch.routing;
