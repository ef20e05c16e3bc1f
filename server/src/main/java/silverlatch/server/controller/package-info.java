/**
 * The program controller: a process of the control plane. {@link silverlatch.server.controller.Controller} joins a node with its event
 * loop, transport, log writer and HTTP API; {@code ApiRouter} finds the resource that answers an operator. Docs: docs/api.md,
 * docs/operating.md.
 */
package silverlatch.server.controller;
