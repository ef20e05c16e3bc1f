/** Small helpers without a concept of their own, most of them for library calls that JDK 17 lacks. */
package silverlatch.util;
