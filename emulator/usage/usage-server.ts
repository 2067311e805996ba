/** Stand-in of the platform's interface that takes reports of usage, with its troubles by switch. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { CLOUD_PATH, HEADER } from '../../platform/names.js';
import { monotonicMs, sleep } from '../../src/common/clock.js';
import type { TenantCounts } from '../../src/protocol/service/usage.js';

/** A report that was received. */
export interface ReceivedReport {
  readonly window: number;
  readonly counts: TenantCounts;
  readonly holder: string;
  readonly fence: number;
  /** When it arrived, however long it took to be taken, milliseconds. */
  readonly atMs: number;
}

/** What happens to calls. */
export type UsageMode =
  /** Answers. */
  | 'answering'
  /** Takes calls and never answers. */
  | 'silent'
  /** Answers 503. */
  | 'busy';

/** The interface. */
export class UsageServer {
  /** Reports that were taken, in their order; repeats stand again. */
  readonly reports: ReceivedReport[] = [];
  mode: UsageMode = 'answering';
  /** Added to every answer, milliseconds. */
  delayMs = 0;
  /** Reports, from the next one, that are taken without an answer. */
  answersToLose = 0;
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();

  constructor() {
    this.server = createServer((request, response) => void this.serve(request, response));
    this.server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
    });
  }

  /** Starts; resolves to `IP:PORT`. */
  async start(): Promise<string> {
    await new Promise<void>((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  stop(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const arrivedAtMs = monotonicMs();
    const chunks: Buffer[] = [];
    try {
      for await (const chunk of request) chunks.push(chunk as Buffer);
    } catch {
      return;
    }
    if (this.delayMs > 0) await sleep(this.delayMs);
    if (this.mode === 'silent') return;
    if (this.mode === 'busy' || request.url !== CLOUD_PATH.usage) {
      response.writeHead(this.mode === 'busy' ? 503 : 404).end('{}');
      return;
    }
    this.take(request, Buffer.concat(chunks), arrivedAtMs);
    if (this.answersToLose > 0) this.answersToLose -= 1;
    else response.writeHead(200, { 'content-type': 'application/json' }).end('{}');
  }

  private take(request: IncomingMessage, body: Buffer, atMs: number): void {
    const { windowId, counts } = JSON.parse(body.toString('utf8')) as {
      windowId: number;
      counts: TenantCounts;
    };
    this.reports.push({
      window: windowId,
      counts,
      holder: String(request.headers[HEADER.dutyHolder]),
      fence: Number(request.headers[HEADER.fencingToken]),
      atMs,
    });
  }
}
