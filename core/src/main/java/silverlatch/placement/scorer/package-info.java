/**
 * The scorers: three hold to constraints (home region, evacuation, availability); four weigh (prefix cache, load, locality, slow
 * start), of which load and slow start also defer to other workers.
 */
package silverlatch.placement.scorer;
