/** Stand-in of the platform's interface for usage reports. Its faults are fields that tests set. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { CLOUD_PATH, HEADER } from '../../platform/names.js';
import { monotonicMs, sleep } from '../../src/common/clock.js';
import type { TenantCounts } from '../../src/protocol/service/usage.js';
import { LoopbackServer, receiveBody } from '../loopback-server.js';

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
  private readonly server = new LoopbackServer((request, response) => void this.serve(request, response));

  /** Starts; resolves to `IP:PORT`. */
  start(): Promise<string> {
    return this.server.start();
  }

  stop(): void {
    this.server.stop();
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const arrivedAtMs = monotonicMs();
    const body = await receiveBody(request);
    if (!body) return;
    if (this.delayMs > 0) await sleep(this.delayMs);
    if (this.mode === 'silent') return;
    if (this.mode === 'busy' || request.url !== CLOUD_PATH.usage) {
      response.writeHead(this.mode === 'busy' ? 503 : 404).end('{}');
      return;
    }
    this.take(request, body, arrivedAtMs);
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
