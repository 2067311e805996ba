/**
 * Resets a connection that is given up while its request has no whole response. An orderly close would leave
 * bytes of the request that the network has held up, as in a partition, with the kernel, which delivers them
 * whenever the path is back: the server then executes a request that its client abandoned long before. A reset
 * discards them. Connections without an open request are closed in order.
 */
import { subscribe } from 'node:diagnostics_channel';
import type { Socket } from 'node:net';
import { resetOnDestroy } from './socket-reset.js';

/** Connections of this process whose request has no whole response. */
const unanswered = new Set<Socket>();
const registered = new WeakSet<object>();
const socketOfRequest = new WeakMap<object, Socket>();

/** Messages of undici's diagnostics channels. */
interface RequestMessage {
  readonly request: object;
}
interface SentMessage extends RequestMessage {
  readonly socket: Socket;
}

subscribe('undici:client:sendHeaders', (message) => {
  const { request, socket } = message as SentMessage;
  if (!registered.has(socket)) return;
  socketOfRequest.set(request, socket);
  unanswered.add(socket);
});
subscribe('undici:request:trailers', (message) => {
  const socket = socketOfRequest.get((message as RequestMessage).request);
  if (socket) unanswered.delete(socket);
});

/** Resets `socket` if it is destroyed before the response to its request is whole. */
export function resetIfUnanswered(socket: Socket): void {
  registered.add(socket);
  const destroy = socket.destroy.bind(socket);
  socket.destroy = (error?: Error) => {
    if (unanswered.delete(socket) && !socket.destroyed) resetOnDestroy(socket);
    return destroy(error);
  };
  socket.once('close', () => unanswered.delete(socket));
}

/**
 * Resets all connections with an unanswered request. Must be called before the process exits, since the kernel
 * closes in order what a process leaves open.
 */
export function resetUnansweredRequests(): void {
  for (const socket of [...unanswered]) socket.destroy();
}
