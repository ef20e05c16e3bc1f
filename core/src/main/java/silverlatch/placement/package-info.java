/**
 * Selection of workers by scorers, each with one criterion: {@link silverlatch.placement.WeightedScorers} selects, and
 * {@code silverlatch.placement.scorer} contains the scorers. Everything here is a pure function of its input and of
 * random numbers, so that recorded selections can be reproduced.
 */
package silverlatch.placement;
