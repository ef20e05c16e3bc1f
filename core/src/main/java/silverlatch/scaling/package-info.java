/**
 * Decides how many workers each pool should have in each zone, as a pure function of the observation and of the
 * previous decisions. Nothing here does input or output. Times are microseconds of one process's monotonic clock.
 */
package silverlatch.scaling;
