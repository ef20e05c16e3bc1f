/**
 * How many workers each pool is to have in each zone: a pure function of what is observed and of what was decided before. Nothing here
 * does input or output; times are microseconds of one process's monotonic clock.
 */
package silverlatch.scaling;
