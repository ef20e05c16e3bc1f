/**
 * What a process keeps on its disk beside the log, so that it needn't be told everything again after a restart. Nothing here is a
 * promise: what can't be written or read is left out.
 */
package silverlatch.server.persistence;
