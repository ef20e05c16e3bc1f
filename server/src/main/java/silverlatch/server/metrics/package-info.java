/**
 * The text of /metrics. Renamed metrics stand there under their former names too, for one version. Docs: docs/operating.md.
 */
package silverlatch.server.metrics;
