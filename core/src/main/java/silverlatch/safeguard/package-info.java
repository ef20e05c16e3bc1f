/**
 * Checks that the simulation can disable one by one, to verify that its observer detects the violations that each
 * prevents.
 */
package silverlatch.safeguard;
