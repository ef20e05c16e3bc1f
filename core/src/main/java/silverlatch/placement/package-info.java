/**
 * The choice of a worker by scorers, each with one criterion: {@link silverlatch.placement.WeightedScorers} chooses, {@code
 * silverlatch.placement.scorer} holds the scorers. Pure functions of their input and of random numbers, so that recorded choices
 * can be made again.
 */
package silverlatch.placement;
