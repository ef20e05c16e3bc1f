/** A bounded store of elements whose handles are never reused. */
package silverlatch.dispatch.buffer;
