/**
 * The calls that the owner of the singleton role makes to the cloud provider that runs the machines. {@code CloudProvider} is
 * independent of any particular provider; an adapter to a provider's API implements it.
 */
package silverlatch.server.provider;
