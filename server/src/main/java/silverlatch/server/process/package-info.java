/**
 * The lifecycle of a process that runs one daemon: start, shutdown hook and exit code.
 */
package silverlatch.server.process;
