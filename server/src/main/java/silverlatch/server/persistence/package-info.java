/**
 * Files that a process keeps in its data directory in addition to the log, so that after a restart it doesn't depend on other processes
 * for all of its state. Saving is best effort: data that can't be written or read is skipped.
 */
package silverlatch.server.persistence;
