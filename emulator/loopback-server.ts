/**
 * HTTP server of a stand-in on the loopback address. It can stop as a crash does, which breaks its
 * connections, and start again on its port.
 */
import { createServer, type IncomingMessage, type RequestListener, type Server } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

const LOOPBACK = '127.0.0.1';

/** A server for one stand-in. */
export class LoopbackServer {
  /** Connections opened so far. */
  openedConnections = 0;
  private readonly sockets = new Set<Socket>();
  private server: Server | undefined;

  constructor(private readonly serve: RequestListener) {}

  /** Connections that are open. */
  get connectionCount(): number {
    return this.sockets.size;
  }

  /** Listens; resolves to `IP:PORT`. */
  async start(port = 0): Promise<string> {
    const server = createServer(this.serve);
    server.on('connection', (socket) => {
      this.sockets.add(socket);
      this.openedConnections += 1;
      socket.on('close', () => this.sockets.delete(socket));
    });
    this.server = server;
    await new Promise<void>((resolve) => server.listen(port, LOOPBACK, resolve));
    return `${LOOPBACK}:${(server.address() as AddressInfo).port}`;
  }

  /** Accepts no more connections; open ones stay. */
  close(): void {
    this.server?.close();
  }

  /** Stops as a crash does. */
  stop(): void {
    this.close();
    for (const socket of this.sockets) socket.destroy();
  }
}

/** The body of a request; `undefined` when the client left while it was sent. */
export async function receiveBody(request: IncomingMessage): Promise<Buffer | undefined> {
  const chunks: Buffer[] = [];
  try {
    for await (const chunk of request) chunks.push(chunk as Buffer);
  } catch {
    // Nobody is left to answer.
    return undefined;
  }
  return Buffer.concat(chunks);
}
