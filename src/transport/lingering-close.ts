/**
 * Reads on after a response that was sent before its request was whole, and drops what arrives. A client that is
 * still sending would otherwise get a reset, which may overtake the response. Bytes and time are bounded; beyond
 * them the connection is closed.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { Socket } from 'node:net';
import { monotonicMs } from '../common/clock.js';

/** As large as the largest usual body, since a client may read only after its last byte. */
const MAX_DISCARDED_BYTES = 32 * 1024 * 1024;
const MAX_LINGER_MS = 5_000;
const CHECK_INTERVAL_MS = 50;

/** Called with the size of each chunk that was received and dropped. */
export type DiscardListener = (bytes: number) => void;

interface IncompleteRequest {
  readonly request: IncomingMessage;
  readonly onDiscarded: DiscardListener;
}

const latestRequests = new WeakMap<Socket, IncompleteRequest>();

/** Keeps a server from closing `socket` after a response while the request is incomplete: only its end is sent. */
export function lingerOnClose(socket: Socket): void {
  // Node calls this method when the last response of a connection was written.
  socket.destroySoon = () => {
    const latest = latestRequests.get(socket);
    if (!latest || latest.request.complete) {
      Socket.prototype.destroySoon.call(socket);
      return;
    }
    socket.end();
    discardRest(latest, socket);
  };
}

/** Bounds what is read of `request` after its response. */
export function boundReadingAfter(
  request: IncomingMessage,
  response: ServerResponse,
  onDiscarded: DiscardListener,
): void {
  const { socket } = request;
  const latest = { request, onDiscarded };
  latestRequests.set(socket, latest);
  response.once('finish', () => {
    // A connection that is being closed is read by `lingerOnClose`.
    if (!request.complete && !socket.destroyed && !socket.writableEnded) discardRest(latest, socket);
  });
}

/** Drops bytes until the request is whole or a limit is reached. */
function discardRest({ request, onDiscarded }: IncompleteRequest, socket: Socket): void {
  const startedAtMs = monotonicMs();
  const startBytes = socket.bytesRead;
  request.on('data', (chunk: Buffer) => onDiscarded(chunk.length));
  const timer = setInterval(() => {
    const { bytesRead } = socket;
    const isOver =
      bytesRead - startBytes > MAX_DISCARDED_BYTES || monotonicMs() - startedAtMs > MAX_LINGER_MS;
    if (!isOver && !request.complete && !socket.destroyed) return;
    clearInterval(timer);
    if (!request.complete) socket.destroy();
    else if (socket.writableEnded) Socket.prototype.destroySoon.call(socket);
  }, CHECK_INTERVAL_MS);
}
