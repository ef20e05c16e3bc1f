/**
 * The program controller: a process of the control plane. {@link silverlatch.server.controller.Controller} connects a node with its
 * event loop, transport, log writer and HTTP API; {@code ApiRouter} finds the resource that replies to a request. Docs: docs/api.md,
 * docs/operating.md.
 */
package silverlatch.server.controller;
