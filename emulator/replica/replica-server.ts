/**
 * Stand-in of one replica of the platform: an application service that answers signed bodies, or a model engine that
 * streams events, reports, and takes orders. It announces itself in the store's rows. Its troubles are methods and fields.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { HEADER, REPLICA_PATH, TABLE } from '../../platform/names.js';
import { monotonicMs, sleep } from '../../src/common/clock.js';
import type { RowStore } from '../store/row-store.js';

/** How a replica is set up. */
export interface ReplicaOptions {
  readonly service: string;
  readonly zone?: string;
  readonly slots?: number;
  /** Models of an engine; none makes it an application. */
  readonly models?: Readonly<Record<string, number>>;
  /** Time of an application's answer, or between two events, milliseconds. */
  readonly workMs?: number;
  /** Events of each stream. */
  readonly events?: number;
  /** Time of a load, milliseconds. */
  readonly loadMs?: number;
  /** Whether it says when it started. Default true. */
  readonly saysBorn?: boolean;
}

/** How a replica starts again. */
export interface RestartOptions {
  /** Time for which it is down, milliseconds. Default 0. */
  readonly downMs?: number;
  /** What its time of day is moved by meanwhile, milliseconds. Default 0. */
  readonly clockStepMs?: number;
  /** Whether connections of before stay open and silent. Default false: they break. */
  readonly isDark?: boolean;
}

/** A request that was received. */
export interface ReceivedRequest {
  readonly id: string;
  readonly path: string;
  readonly deadlineMs: number | undefined;
  readonly lastEventId: string | undefined;
  /** Tenant that it names, and the key that it bears: a node passes none on. */
  readonly tenant: string | undefined;
  readonly authorization: string | undefined;
  readonly atMs: number;
  /** When it began to run, milliseconds since the start of 1970; `undefined` while it has not. */
  beganAtMs: number | undefined;
}

/** An order that was received. */
export interface ReceivedOrder {
  readonly holder: string;
  readonly fence: number;
  readonly model: string;
  readonly version: number;
  readonly expected: number;
  readonly atMs: number;
}

let nextReplica = 0;

/** The data of an event: it follows from the request and its number alone. */
export function eventData(requestId: string, number: number): string {
  return `${requestId}/${number}`;
}

/** One replica. */
export class ReplicaServer {
  id = '';
  address = '';
  readonly received: ReceivedRequest[] = [];
  readonly orders: ReceivedOrder[] = [];
  readonly versions: Map<string, number>;
  /** Takes requests and never answers. */
  isSilent = false;
  /** Status that every request gets, as a failure that ran. */
  failWith: number | undefined;
  /** A request whose body begins like this ends the replica while it runs. */
  fatalPrefix: string | undefined;
  /** Called with the body when a request has ended the replica. */
  onFatal: (body: string) => void = () => {};
  /** Streams that are broken after `breakAfterEvents` events, from the next one. */
  streamsToBreak = 0;
  /** Streams, from the next one, that end with their connection, after `breakAfterEvents` events. */
  unframedStreams = 0;
  breakAfterEvents = 2;
  /** Streams, from the next one, whose second event names a version that is no number. */
  unreadableVersions = 0;
  /** Answers, from the next one, that have no length and are cut: by a reset, or by an orderly end. */
  unframedCuts = 0;
  cutsByReset = true;
  /** Answers, from the next one, that are preceded by a surplus answer to another request. */
  surplusAnswers = 0;
  /** Orders, from the next one, that are carried out after `lateOrderMs` without an answer. */
  ordersToDelay = 0;
  lateOrderMs = 0;
  /** Time between two events, or of an answer, milliseconds. */
  workMs: number;
  /** Time of a load, milliseconds. */
  loadMs: number;
  /** Connections that were opened so far. */
  openedConnections = 0;
  /** When this life began, as it says, milliseconds since 1970. */
  bornMs = 0;
  private hasCrashed = false;
  private isWithdrawn = false;
  private state: 'ready' | 'draining' = 'ready';
  private beats = 0;
  private orderCount = 0;
  private isLoading = false;
  private active = 0;
  /** Lives so far: what was begun in one is not gone on with in another. */
  private life = 0;
  private server: Server;
  private readonly sockets = new Set<Socket>();

  constructor(
    private readonly rows: RowStore,
    readonly options: ReplicaOptions,
  ) {
    this.versions = new Map(Object.entries(options.models ?? {}));
    this.workMs = options.workMs ?? 5;
    this.loadMs = options.loadMs ?? 50;
    this.server = this.createServer();
  }

  private createServer(): Server {
    const server = createServer((request, response) => void this.serve(request, response));
    server.on('connection', (socket) => {
      this.sockets.add(socket);
      this.openedConnections += 1;
      socket.on('close', () => this.sockets.delete(socket));
    });
    return server;
  }

  /** Requests that it works on now. */
  get running(): number {
    return this.active;
  }

  /** Whether a load is under way. */
  get isBusy(): boolean {
    return this.isLoading;
  }

  /** Whether it is there and announced. */
  get isUp(): boolean {
    return !this.hasCrashed && !this.isWithdrawn;
  }

  /** Connections that are open. */
  connectionCount(): number {
    return this.sockets.size;
  }

  /** Starts and announces itself; a successor takes the port of the one before. */
  async start(port = 0): Promise<this> {
    await new Promise<void>((resolve) => this.server.listen(port, '127.0.0.1', resolve));
    nextReplica += 1;
    this.id = `replica-${nextReplica}`;
    this.address = `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
    this.bornMs = Date.now();
    this.announce('ready');
    return this;
  }

  /**
   * Ends at once and starts again under its id, at its address: it knows nothing of before, but has the weights that it had.
   * Connections of before break, or stay silent for good.
   */
  async startAgain({ downMs = 0, clockStepMs = 0, isDark = false }: RestartOptions = {}): Promise<void> {
    if (isDark) this.server.close();
    else this.crash();
    this.life += 1;
    await sleep(downMs);
    this.server = this.createServer();
    await new Promise<void>((resolve) => this.server.listen(this.port, '127.0.0.1', resolve));
    this.hasCrashed = false;
    this.isSilent = false;
    this.isLoading = false;
    this.active = 0;
    this.beats = 0;
    this.orderCount = 0;
    this.bornMs = Date.now() + clockStepMs;
    this.announce('ready');
  }

  private get port(): number {
    return Number(this.address.slice(this.address.lastIndexOf(':') + 1));
  }

  /** Writes its row. */
  announce(state: 'ready' | 'draining'): void {
    this.state = state;
    this.rows.put(TABLE.replicas, this.id, this.row());
  }

  /** What it says of itself in its row. */
  row() {
    return {
      service: this.options.service,
      addr: this.address,
      zone: this.options.zone ?? 'zone-a',
      version: 'v1',
      slots: this.options.slots ?? 4,
      state: this.state,
      coldLeftMs: 0,
      seq: this.beats,
      ...this.birth(),
      models: this.modelList(),
    };
  }

  private birth(): { born?: number } {
    return this.options.saysBorn === false ? {} : { born: this.bornMs };
  }

  /** Writes its row again, as a sign of life, while it is up. */
  beat(): void {
    if (this.hasCrashed || this.isWithdrawn) return;
    this.beats += 1;
    this.announce(this.state);
  }

  /** Ends at once; its row stays until `withdraw`. */
  crash(): void {
    this.hasCrashed = true;
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  /** Removes its row. */
  withdraw(): void {
    this.isWithdrawn = true;
    this.rows.remove(TABLE.replicas, this.id);
  }

  private modelList() {
    return [...this.versions].map(([name, version]) => ({ name, version, adapters: [] }));
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const chunks: Buffer[] = [];
    try {
      for await (const chunk of request) chunks.push(chunk as Buffer);
    } catch {
      return;
    }
    if (this.isSilent) return;
    const body = Buffer.concat(chunks);
    if (request.url === REPLICA_PATH.report) return this.report(response);
    const expected = request.headers[HEADER.expectReplica];
    const id = String(request.headers[HEADER.requestId] ?? '');
    const echo = { [HEADER.requestId]: id };
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, echo).end();
      return;
    }
    if (request.url === REPLICA_PATH.order) return this.takeOrder(response, body);
    const received: ReceivedRequest = {
      id,
      path: request.url ?? '',
      deadlineMs: numeric(request, HEADER.deadlineMs),
      lastEventId: request.headers[HEADER.lastEventId] as string | undefined,
      tenant: request.headers[HEADER.tenant] as string | undefined,
      authorization: request.headers.authorization,
      atMs: monotonicMs(),
      beganAtMs: undefined,
    };
    this.received.push(received);
    if (this.active >= (this.options.slots ?? 4)) {
      response.writeHead(503, { ...echo, [HEADER.notExecuted]: '1' }).end();
      return;
    }
    const { life } = this;
    this.active += 1;
    received.beganAtMs = Date.now();
    const text = body.toString('utf8');
    if (this.fatalPrefix !== undefined && text.startsWith(this.fatalPrefix)) await this.endUnder(text);
    else await this.work(request, response, id);
    if (life === this.life) this.active -= 1;
  }

  private async endUnder(body: string): Promise<void> {
    const { life } = this;
    await sleep(this.workMs);
    if (this.hasCrashed || life !== this.life) return;
    this.crash();
    this.onFatal(body);
  }

  private async work(request: IncomingMessage, response: ServerResponse, id: string): Promise<void> {
    const { life } = this;
    if (this.failWith !== undefined) {
      response
        .writeHead(this.failWith, { [HEADER.requestId]: id, [HEADER.signature]: 'failure' })
        .end('failed');
      return;
    }
    if (this.surplusAnswers > 0) {
      this.surplusAnswers -= 1;
      const head = `HTTP/1.1 200 OK\r\n${HEADER.requestId}: other\r\n${HEADER.signature}: other\r\n`;
      request.socket.write(`${head}content-length: 5\r\n\r\nother`);
    }
    if (this.unframedCuts > 0) {
      this.unframedCuts -= 1;
      const head = `HTTP/1.1 200 OK\r\n${HEADER.requestId}: ${id}\r\n${HEADER.signature}: signed-${id}\r\n`;
      request.socket.write(`${head}connection: close\r\n\r\nansw`);
      await sleep(this.workMs);
      if (this.cutsByReset) request.socket.resetAndDestroy();
      else request.socket.end();
      return;
    }
    if (this.versions.size > 0) return this.stream(request, response, id);
    const allowedMs = numeric(request, HEADER.deadlineMs) ?? Number.POSITIVE_INFINITY;
    const isInTime = this.workMs <= allowedMs;
    await sleep(isInTime ? this.workMs : allowedMs);
    if (response.destroyed || life !== this.life) return;
    response
      .writeHead(isInTime ? 200 : 504, { [HEADER.requestId]: id, [HEADER.signature]: `signed-${id}` })
      .end(`answer to ${id}`);
  }

  private async stream(request: IncomingMessage, response: ServerResponse, id: string): Promise<void> {
    const { life } = this;
    const model = String(request.headers.model ?? [...this.versions.keys()][0]);
    let version = this.versions.get(model) ?? 0;
    const first = Number(request.headers[HEADER.lastEventId] ?? 0) + 1;
    const isUnframed = this.unframedStreams > 0;
    if (isUnframed) {
      this.unframedStreams -= 1;
      response.useChunkedEncodingByDefault = false;
      response.shouldKeepAlive = false;
    }
    const breaks = this.streamsToBreak > 0;
    if (breaks) this.streamsToBreak -= 1;
    const isUnreadable = this.unreadableVersions > 0;
    if (isUnreadable) this.unreadableVersions -= 1;
    const head = {
      'content-type': 'text/event-stream',
      [HEADER.requestId]: id,
      [HEADER.signature]: `signed-${id}`,
      [HEADER.weightVersions]: String(version),
    };
    response.writeHead(200, head);
    for (let number = first; number <= (this.options.events ?? 5); number += 1) {
      await sleep(this.workMs);
      if (response.destroyed || life !== this.life) return;
      if (this.isSilent) return;
      if (isUnframed && number - first >= this.breakAfterEvents) break;
      if (breaks && number - first >= this.breakAfterEvents) {
        response.write(`id: ${number}\nda`);
        request.socket.destroy();
        return;
      }
      const newest = this.versions.get(model) ?? 0;
      const named = isUnreadable && number === first + 1 ? 'x' : newest;
      const change = named === version ? '' : `${HEADER.weightVersions}: ${named}\n`;
      version = newest;
      response.write(`${change}id: ${number}\ndata: ${eventData(id, number)}\n\n`);
    }
    response.end();
  }

  private report(response: ServerResponse): void {
    response.writeHead(200, { 'content-type': 'application/json' }).end(
      JSON.stringify({
        stage: 'both',
        ...this.birth(),
        models: this.modelList(),
        busy: this.isLoading,
        seq: this.orderCount,
        waiting: 0,
        running: this.active,
      }),
    );
  }

  private takeOrder(response: ServerResponse, body: Buffer): void {
    const order = JSON.parse(body.toString('utf8')) as Omit<ReceivedOrder, 'atMs'>;
    this.orders.push({ ...order, atMs: monotonicMs() });
    if (this.ordersToDelay > 0) {
      this.ordersToDelay -= 1;
      setTimeout(() => this.carryOut(order), this.lateOrderMs);
      return;
    }
    response.writeHead(this.carryOut(order)).end('{}');
  }

  private carryOut(order: Omit<ReceivedOrder, 'atMs'>): number {
    if (this.versions.get(order.model) === order.version) return 200;
    if (this.isLoading || order.expected !== this.orderCount) return 409;
    this.orderCount += 1;
    this.isLoading = true;
    const { life } = this;
    setTimeout(() => {
      if (life !== this.life) return;
      this.isLoading = false;
      this.versions.set(order.model, order.version);
      this.beat();
    }, this.loadMs);
    return 202;
  }
}

function numeric(request: IncomingMessage, name: string): number | undefined {
  const value = request.headers[name];
  return value === undefined ? undefined : Number(value);
}
