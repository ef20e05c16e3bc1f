/** Permits, signed with the cluster's key, with which clients submit requests. */
package silverlatch.dispatch.permit;
