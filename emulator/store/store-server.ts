/** Stand-in of the platform's store over HTTP. Its faults are fields that tests set. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { STORE_PATH } from '../../platform/names.js';
import { monotonicMs, sleep } from '../../src/common/clock.js';
import { LoopbackServer, receiveBody } from '../loopback-server.js';
import { RowStore, type Transaction } from './row-store.js';

/** Limits of the platform's store. */
const PAGE_ROWS = 500;
const PAGE_NAMES = 1_000;
const MAX_ENTRIES = 100;
const MAX_VALUE_BYTES = 65_536;
const MAX_TRANSACTION_BYTES = 1_048_576;
const MAX_OBJECT_BYTES = 8_388_608;
const MILLISECONDS_PER_SECOND = 1_000;
const WRITING_PATHS = [STORE_PATH.transaction, STORE_PATH.putObject, STORE_PATH.dropObject];

/** What happens to calls. */
export type StoreMode =
  /** Answers. */
  | 'answering'
  /** Takes calls and never answers. */
  | 'silent'
  /** Answers 503. */
  | 'busy'
  /** Breaks every connection. */
  | 'reset';

/** The store. */
export class StoreServer {
  readonly rows = new RowStore();
  /** What happens to calls from now on. */
  mode: StoreMode = 'answering';
  /** Added to every answer, milliseconds. */
  delayMs = 0;
  /** Partition whose scans are answered with 503. */
  unreadablePartition: string | undefined;
  /** Transactions, from the next one, that are done without an answer. */
  answersToLose = 0;
  /** Transactions, from the next one, that are done after `lateMs` and never answered. */
  transactionsToDelay = 0;
  lateMs = 0;
  /**
   * Reads of ranges show the rows as they were this much earlier, milliseconds; feeds and transactions don't.
   */
  readsBehindMs = 0;
  /** Calls about this table are taken and never answered. */
  silentTable: string | undefined;
  /** Most calls of all clients together in a second; further ones get 429. */
  writesPerSecond = Number.POSITIVE_INFINITY;
  readsPerSecond = Number.POSITIVE_INFINITY;
  /** Calls that got 429. */
  limitedCalls = 0;
  /** Called before each transaction. */
  onTransaction: ((transaction: Transaction) => void) | undefined;
  /** Puts another transaction in the place of each one that is received. */
  altered: ((transaction: Transaction) => Transaction) | undefined;
  /** Transactions that were received. */
  transactionCount = 0;
  private readonly writes = new SecondCounter();
  private readonly reads = new SecondCounter();
  private readonly objects = new Map<string, Buffer>();
  private readonly server = new LoopbackServer((request, response) => void this.serve(request, response));

  /** Starts; resolves to `IP:PORT`. */
  start(port = 0): Promise<string> {
    return this.server.start(port);
  }

  stop(): void {
    this.server.stop();
  }

  /** Serves one call. */
  async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await receiveBody(request);
    if (!body) return;
    if (this.delayMs > 0) await sleep(this.delayMs);
    if (this.mode === 'silent') return;
    if (this.mode === 'reset') {
      request.socket.destroy();
      return;
    }
    if (this.mode === 'busy') return this.answer(response, 503, {});
    await this.route(request, response, body);
  }

  private async route(request: IncomingMessage, response: ServerResponse, body: Buffer): Promise<void> {
    const path = (request as { originalUrl?: string }).originalUrl ?? request.url ?? '/';
    const url = new URL(path, 'http://store');
    if (!this.isWithinRate(url.pathname)) return this.answer(response, 429, {});
    if (this.silentTable !== undefined && url.searchParams.get('table') === this.silentTable) return;
    if (url.pathname === STORE_PATH.transaction) return this.transact(response, body);
    if (url.pathname === STORE_PATH.rows) return this.scan(response, url.searchParams);
    if (url.pathname === STORE_PATH.feed) return this.feed(response, url.searchParams);
    if (url.pathname === STORE_PATH.listObjects) return this.listObjects(response, url.searchParams);
    return this.serveObject(response, url.pathname, body);
  }

  /** Counts a call; false when the rate of its second is used up. */
  private isWithinRate(path: string): boolean {
    const isWrite = WRITING_PATHS.some((writing) => path.startsWith(writing));
    const rate = isWrite ? this.writes : this.reads;
    const isTaken = rate.take(isWrite ? this.writesPerSecond : this.readsPerSecond);
    if (!isTaken) this.limitedCalls += 1;
    return isTaken;
  }

  private async transact(response: ServerResponse, body: Buffer): Promise<void> {
    const received = JSON.parse(body.toString('utf8')) as Transaction;
    const transaction = this.altered?.(received) ?? received;
    this.transactionCount += 1;
    this.onTransaction?.(transaction);
    const problem = problemOf(transaction, body.length);
    if (problem) return this.answer(response, 400, { error: problem });
    if (this.transactionsToDelay > 0) {
      this.transactionsToDelay -= 1;
      setTimeout(() => this.rows.transact(transaction), this.lateMs);
      return;
    }
    const result = this.rows.transact(transaction);
    if (this.answersToLose > 0) {
      this.answersToLose -= 1;
      return;
    }
    this.answer(response, 'rows' in result ? 412 : 200, result);
  }

  private scan(response: ServerResponse, query: URLSearchParams): void {
    const limit = Math.min(PAGE_ROWS, Number(query.get('limit') ?? PAGE_ROWS));
    const until = query.get('targetVersion') ?? undefined;
    const range = [
      query.get('table') ?? '',
      query.get('part') ?? '',
      query.get('from') ?? '',
      until,
    ] as const;
    if (range[1] !== '' && range[1] === this.unreadablePartition) {
      this.answer(response, 503, {});
      return;
    }
    const { rows, version } =
      this.readsBehindMs > 0
        ? this.rows.scanPast(...range, this.readsBehindMs)
        : { rows: this.rows.scan(...range), version: this.rows.version };
    this.answer(response, 200, { rows: rows.slice(0, limit), more: rows.length > limit, ver: version });
  }

  private async feed(response: ServerResponse, query: URLSearchParams): Promise<void> {
    const table = query.get('table') ?? '';
    const after = Number(query.get('afterRev') ?? 0);
    const deadline = monotonicMs() + Number(query.get('waitMs') ?? 0);
    do {
      const rows = this.rows.changes(table, after);
      if (rows === undefined) return this.answer(response, 410, {});
      if (rows.length > 0 || monotonicMs() >= deadline) return this.answer(response, 200, { rows });
      await this.untilChange(table, deadline - monotonicMs());
    } while (this.mode === 'answering' && this.silentTable !== table);
  }

  private untilChange(table: string, waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const end = () => {
        clearTimeout(timer);
        stop();
        resolve();
      };
      const timer = setTimeout(end, Math.max(1, waitMs));
      const stop = this.rows.listen(table, end);
    });
  }

  private listObjects(response: ServerResponse, query: URLSearchParams): void {
    const prefix = query.get('pathPrefix') ?? '';
    const after = query.get('afterRev') ?? '';
    const names = [...this.objects.keys()].filter((name) => name.startsWith(prefix) && name > after).sort();
    this.answer(response, 200, { names: names.slice(0, PAGE_NAMES), more: names.length > PAGE_NAMES });
  }

  private serveObject(response: ServerResponse, path: string, body: Buffer): void {
    const name = decodeURIComponent(path.slice(path.indexOf('/', 1) + 1));
    const isPut = path.startsWith(STORE_PATH.putObject);
    if (isPut && body.length > MAX_OBJECT_BYTES) {
      this.answer(response, 413, {});
      return;
    }
    if (isPut) this.objects.set(name, body);
    if (path.startsWith(STORE_PATH.dropObject)) this.objects.delete(name);
    const found = this.objects.get(name);
    if (!path.startsWith(STORE_PATH.getObject)) this.answer(response, 200, {});
    else if (found) response.writeHead(200).end(found);
    else this.answer(response, 404, {});
  }

  private answer(response: ServerResponse, status: number, body: object): void {
    const content = JSON.stringify({ ver: this.rows.version, now_ms: Math.round(monotonicMs()), ...body });
    response.writeHead(status, { 'content-type': 'application/json' }).end(content);
  }
}

/** Counts calls by the second. */
class SecondCounter {
  private second = 0;
  private count = 0;

  /** Counts one call; false when it exceeds `limit`. */
  take(limit: number): boolean {
    const second = Math.floor(monotonicMs() / MILLISECONDS_PER_SECOND);
    if (second !== this.second) this.count = 0;
    this.second = second;
    this.count += 1;
    return this.count <= limit;
  }
}

/** Why the store rejects a transaction; `undefined` when it accepts it. */
function problemOf(transaction: Transaction, bodyBytes: number): string | undefined {
  const { expected = [], put = [], remove = [] } = transaction;
  const entries = [...expected, ...put, ...remove];
  if (entries.length > MAX_ENTRIES) return `more than ${MAX_ENTRIES} entries`;
  if (bodyBytes > MAX_TRANSACTION_BYTES) return `more than ${MAX_TRANSACTION_BYTES} bytes`;
  if (new Set(entries.map((entry) => entry.part ?? '')).size > 1) return 'entries of several parts';
  const isLarge = put.some((row) => Buffer.byteLength(row.value, 'base64') > MAX_VALUE_BYTES);
  return isLarge ? `a value of more than ${MAX_VALUE_BYTES} bytes` : undefined;
}
