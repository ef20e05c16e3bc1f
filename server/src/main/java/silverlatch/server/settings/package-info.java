/**
 * The settings of controllers and gateways, which are read from a JSON file and flags, and the command line options that all
 * programs share. Docs: docs/settings.md.
 */
package silverlatch.server.settings;
