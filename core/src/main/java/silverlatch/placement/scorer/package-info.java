/**
 * The scorers. Three enforce constraints: home region, evacuation and availability. Four are weighted: prefix cache,
 * load, locality and slow start; of these, load and slow start also defer workers.
 */
package silverlatch.placement.scorer;
