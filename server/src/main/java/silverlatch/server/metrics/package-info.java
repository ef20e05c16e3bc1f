/**
 * The text that /metrics serves. A renamed metric also appears under its deprecated name for one version. Docs: docs/operating.md.
 */
package silverlatch.server.metrics;
