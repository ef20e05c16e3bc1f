/** A bounded store of requests whose handles are never mistaken for one another. */
package silverlatch.dispatch.buffer;
