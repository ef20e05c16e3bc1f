/**
 * What the owner of the singleton role asks of the provider of the machines. The interface is the product's own; who translates it
 * into a provider's calls implements it.
 */
package silverlatch.server.provider;
