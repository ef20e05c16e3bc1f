/**
 * What gateways serve, and how the owner of the singleton role learns of it: usage by tenant and window, and demand by pool. Nothing
 * here does input or output; times are microseconds of a process's monotonic clock unless they are said to be of the wall clock.
 */
package silverlatch.traffic;
