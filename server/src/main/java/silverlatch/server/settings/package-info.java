/**
 * The settings of controllers and gateways from a JSON file and flags, and the command line that all programs share. Docs:
 * docs/settings.md.
 */
package silverlatch.server.settings;
