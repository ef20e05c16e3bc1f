/**
 * The life of a process whose main job is one daemon: start, shutdown hook, exit code.
 */
package silverlatch.server.process;
