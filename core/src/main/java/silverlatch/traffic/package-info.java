/**
 * Measures the traffic of gateways and reports it to the owner of the singleton role: usage by tenant and window, and
 * demand by pool. Nothing here does input or output. Times are microseconds of a process's monotonic clock unless they
 * are described as wall clock times.
 */
package silverlatch.traffic;
