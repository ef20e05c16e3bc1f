/** The checks that the simulation can disable one by one, to see that its observer notices what each prevents. */
package silverlatch.safeguard;
