/** Permits: what a client submits a request with, signed with the cluster's key. */
package silverlatch.dispatch.permit;
