/**
 * Connections of a server, and their maximum. When it is reached, a new connection takes the place of the oldest one
 * that waits for its client, since it is idle or its request is not whole: first of those that never had a request
 * answered, then of the others. Requests that may run keep their connections.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { resetOnDestroy } from './socket-reset.js';

interface Connection {
  /** Requests without a completely sent response. */
  readonly open: Map<ServerResponse, IncomingMessage>;
  hasAnswered: boolean;
}

const isIdle = ({ open }: Connection) => open.size === 0;
/** Whether the next step is the client's: there is no request, or none that is whole. */
const isClientsTurn = ({ open }: Connection) => [...open.values()].every(({ complete }) => !complete);
const isUnanswered = (connection: Connection) => isClientsTurn(connection) && !connection.hasAnswered;

export class Connections {
  /** Connections that were closed for others, and new ones that found no place. */
  replacedCount = 0;
  /** In the order of their last response, or of their start. */
  private readonly connections = new Map<Socket, Connection>();

  constructor(private readonly maxCount: number) {}

  /** Adds a new connection. */
  add(socket: Socket): void {
    if (this.connections.size >= this.maxCount && !this.makePlace()) {
      this.replacedCount += 1;
      socket.destroy();
      return;
    }
    this.connections.set(socket, { open: new Map(), hasAnswered: false });
    socket.once('close', () => this.connections.delete(socket));
  }

  /** Records a request; it is open until its response has been sent or its connection is closed. */
  begin(request: IncomingMessage, response: ServerResponse): void {
    const { socket } = request;
    const connection = this.connections.get(socket);
    if (!connection) return;
    connection.open.set(response, request);
    response.once('close', () => {
      connection.open.delete(response);
      connection.hasAnswered = true;
      if (!this.connections.delete(socket)) return;
      this.connections.set(socket, connection);
    });
  }

  /**
   * Closes connections without an open request. Unlike that of Node, it leaves those whose response is still
   * being sent.
   */
  closeIdle(): void {
    for (const [socket, connection] of this.connections) if (isIdle(connection)) socket.destroy();
  }

  /** Whether bytes of a response wait for a client that reads slowly. */
  get hasUnsentBytes(): boolean {
    return [...this.connections.keys()].some(({ writableLength }) => writableLength > 0);
  }

  /**
   * Resets the connections with unsent bytes, for the exit of the process: an orderly close in the middle of a
   * response that ends with its connection would make it look whole.
   */
  resetUnsent(): void {
    for (const socket of this.connections.keys())
      if (socket.writableLength > 0) {
        resetOnDestroy(socket);
        socket.destroy();
      }
  }

  /** Closes all connections. */
  destroy(): void {
    for (const socket of this.connections.keys()) socket.destroy();
  }

  /** Closes a connection that waits for its client; false if there is none. */
  private makePlace(): boolean {
    const socket = this.first(isUnanswered) ?? this.first(isClientsTurn);
    if (!socket) return false;
    this.replacedCount += 1;
    this.connections.delete(socket);
    socket.destroy();
    return true;
  }

  private first(matches: (connection: Connection) => boolean): Socket | undefined {
    for (const [socket, connection] of this.connections) if (matches(connection)) return socket;
    return undefined;
  }
}
