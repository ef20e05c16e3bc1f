/** General-purpose helpers, most of them for library calls that JDK 17 lacks. */
package silverlatch.util;
