/**
 * Stand-in of one replica of the platform: an application service that answers signed bodies, or a model
 * engine that streams events, reports, and executes load commands. It announces itself in the store's rows.
 * Its faults are methods and fields that tests set. Over 300 lines, a third of them the fields and options of
 * these faults.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { HEADER, REPLICA_PATH, TABLE } from '../../platform/names.js';
import { monotonicMs, sleep } from '../../src/common/clock.js';
import { LoopbackServer, receiveBody } from '../loopback-server.js';
import type { RowStore } from '../store/row-store.js';
import { type EndlessKind, sendEndlessly } from './endless-answers.js';
import { cutStream, eventText, idOf, numeric, rawHead, signed, writeStreamHead } from './replica-answers.js';

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

/** Faults that strike a number of times. */
type CountedFault =
  | 'surplusAnswers'
  | 'unframedCuts'
  | 'unframedStreams'
  | 'streamsToBreak'
  | 'unreadableVersions'
  | 'ordersToDelay';

let nextReplica = 0;

/** One replica. */
export class ReplicaServer {
  id = '';
  address = '';
  readonly received: ReceivedRequest[] = [];
  /** IDs of the requests that were read while `isSilent` or `endless`, which are never answered. */
  readonly unansweredIds: string[] = [];
  readonly orders: ReceivedOrder[] = [];
  /** IDs of the requests that were declined since they expect another weight version. */
  readonly versionDeclines: string[] = [];
  readonly versions: Map<string, number>;
  /** Takes requests and never answers. */
  isSilent = false;
  /** What every call gets until it is unset: bytes without end, at full speed or one piece each `endlessPaceMs`. */
  endless: EndlessKind | undefined;
  endlessPaceMs = 0;
  /** Bytes of each call at full speed before that. */
  endlessBurstBytes = 0;
  /** Calls that got bytes without end, and these bytes. */
  endlessCalls = 0;
  endlessBytes = 0;
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
  /** Sends a request its answer in place of the usual one; false: the usual one follows. */
  respond: ((socket: Socket, id: string) => boolean) | undefined;
  /** Answers, from the next one, that are preceded by a surplus answer to another request. */
  surplusAnswers = 0;
  /** Orders, from the next one, that are carried out after `lateOrderMs` without an answer. */
  ordersToDelay = 0;
  lateOrderMs = 0;
  /** Time between two events, or of an answer, milliseconds. */
  workMs: number;
  /** Time of a load, milliseconds. */
  loadMs: number;
  /** Start of this incarnation by its own clock, milliseconds since 1970. */
  bornMs = 0;
  private hasCrashed = false;
  private isWithdrawn = false;
  private state: 'ready' | 'draining' = 'ready';
  private heartbeats = 0;
  private orderCount = 0;
  private isLoading = false;
  private active = 0;
  /** Counts incarnations: work of one is not continued in the next. */
  private incarnation = 0;
  private readonly server = new LoopbackServer((request, response) => void this.serve(request, response));

  constructor(
    private readonly rows: RowStore,
    readonly options: ReplicaOptions,
  ) {
    this.versions = new Map(Object.entries(options.models ?? {}));
    this.workMs = options.workMs ?? 5;
    this.loadMs = options.loadMs ?? 50;
  }

  /** Connections that were opened so far. */
  get openedConnections(): number {
    return this.server.openedConnections;
  }

  private get eventCount(): number {
    return this.options.events ?? 5;
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
    return this.server.connectionCount;
  }

  /** Starts and announces itself; a successor takes the port of the one before. */
  async start(port = 0): Promise<this> {
    this.address = await this.server.start(port);
    nextReplica += 1;
    this.id = `replica-${nextReplica}`;
    this.bornMs = Date.now();
    this.announce('ready');
    return this;
  }

  /**
   * Ends at once and starts again under its id, at its address: it knows nothing of before, but has the
   * weights that it had. Connections of before break, or stay silent for good.
   */
  async startAgain({ downMs = 0, clockStepMs = 0, isDark = false }: RestartOptions = {}): Promise<void> {
    if (isDark) this.server.close();
    else this.crash();
    this.incarnation += 1;
    await sleep(downMs);
    await this.server.start(Number(this.address.slice(this.address.lastIndexOf(':') + 1)));
    this.hasCrashed = false;
    this.isSilent = false;
    this.endless = undefined;
    this.isLoading = false;
    this.active = 0;
    this.heartbeats = 0;
    this.orderCount = 0;
    this.bornMs = Date.now() + clockStepMs;
    this.announce('ready');
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
      seq: this.heartbeats,
      ...this.birth(),
      models: this.modelList(),
    };
  }

  private birth(): { born?: number } {
    return this.options.saysBorn === false ? {} : { born: this.bornMs };
  }

  /** Writes its row again as a heartbeat, while it is up. */
  beat(): void {
    if (this.hasCrashed || this.isWithdrawn) return;
    this.heartbeats += 1;
    this.announce(this.state);
  }

  /** Ends at once; its row stays until `withdraw`. */
  crash(): void {
    this.hasCrashed = true;
    this.server.stop();
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
    const body = await receiveBody(request);
    if (body && (this.isSilent || this.endless)) this.unansweredIds.push(idOf(request));
    if (!body || this.isSilent) return;
    if (this.endless) return this.answerEndlessly(request, this.endless);
    if (request.url === REPLICA_PATH.report) return this.report(response);
    const expected = request.headers[HEADER.expectReplica];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { [HEADER.requestId]: idOf(request) }).end();
      return;
    }
    if (request.url === REPLICA_PATH.order) return this.takeOrder(response, body);
    await this.run(request, response, body.toString('utf8'));
  }

  /** Runs a request when a slot is free, and declines it otherwise. */
  private async run(request: IncomingMessage, response: ServerResponse, body: string): Promise<void> {
    const received: ReceivedRequest = {
      id: idOf(request),
      path: request.url ?? '',
      deadlineMs: numeric(request, HEADER.deadlineMs),
      lastEventId: request.headers[HEADER.lastEventId] as string | undefined,
      tenant: request.headers[HEADER.tenant] as string | undefined,
      authorization: request.headers.authorization,
      atMs: monotonicMs(),
      beganAtMs: undefined,
    };
    if (this.declinesVersion(request, response)) return;
    this.received.push(received);
    if (this.active >= (this.options.slots ?? 4)) {
      response.writeHead(503, { [HEADER.requestId]: received.id, [HEADER.notExecuted]: '1' }).end();
      return;
    }
    const { incarnation } = this;
    this.active += 1;
    received.beganAtMs = Date.now();
    if (this.fatalPrefix !== undefined && body.startsWith(this.fatalPrefix)) await this.endUnder(body);
    else await this.work(request, response, received.id);
    if (incarnation === this.incarnation) this.active -= 1;
  }

  private declinesVersion(request: IncomingMessage, response: ServerResponse): boolean {
    const expected = numeric(request, HEADER.expectVersion);
    if (expected === undefined || expected === this.versionFor(request)) return false;
    this.versionDeclines.push(idOf(request));
    response.writeHead(421, { [HEADER.requestId]: idOf(request), [HEADER.notExecuted]: '1' }).end();
    return true;
  }

  private versionFor(request: IncomingMessage): number {
    return this.versions.get(String(request.headers.model ?? [...this.versions.keys()][0])) ?? 0;
  }

  private async endUnder(body: string): Promise<void> {
    const { incarnation } = this;
    await sleep(this.workMs);
    if (this.hasCrashed || incarnation !== this.incarnation) return;
    this.crash();
    this.onFatal(body);
  }

  private async work(request: IncomingMessage, response: ServerResponse, id: string): Promise<void> {
    if (this.failWith !== undefined) {
      response.writeHead(this.failWith, signed(id, 'failure')).end('failed');
      return;
    }
    if (this.take('surplusAnswers'))
      request.socket.write(`${rawHead('other', 'other')}content-length: 5\r\n\r\nother`);
    if (this.respond?.(request.socket, id)) return;
    if (this.take('unframedCuts')) return this.cutUnframed(request, id);
    if (this.versions.size > 0) return this.stream(request, response, id);
    return this.answer(request, response, id);
  }

  private answerEndlessly(request: IncomingMessage, kind: EndlessKind): Promise<void> {
    this.endlessCalls += 1;
    const onSent = (bytes: number) => {
      this.endlessBytes += bytes;
    };
    return sendEndlessly(request.socket, kind, idOf(request), {
      paceMs: this.endlessPaceMs,
      burstBytes: this.endlessBurstBytes,
      onSent,
    });
  }

  private async cutUnframed({ socket }: IncomingMessage, id: string): Promise<void> {
    socket.write(`${rawHead(id, `signed-${id}`)}connection: close\r\n\r\nansw`);
    await sleep(this.workMs);
    if (this.cutsByReset) socket.resetAndDestroy();
    else socket.end();
  }

  private async answer(request: IncomingMessage, response: ServerResponse, id: string): Promise<void> {
    const { incarnation } = this;
    const allowedMs = numeric(request, HEADER.deadlineMs) ?? Number.POSITIVE_INFINITY;
    const isInTime = this.workMs <= allowedMs;
    await sleep(isInTime ? this.workMs : allowedMs);
    if (response.destroyed || incarnation !== this.incarnation) return;
    response.writeHead(isInTime ? 200 : 504, signed(id)).end(`answer to ${id}`);
  }

  private async stream(request: IncomingMessage, response: ServerResponse, id: string): Promise<void> {
    const { incarnation } = this;
    const versionNow = () => this.versionFor(request);
    const first = Number(request.headers[HEADER.lastEventId] ?? 0) + 1;
    const fault = this.takeStreamFault(first);
    let version: number | string = versionNow();
    writeStreamHead(response, id, version, fault.isUnframed);
    for (let number = first; number <= this.eventCount; number += 1) {
      await sleep(this.workMs);
      if (response.destroyed || incarnation !== this.incarnation || this.isSilent) return;
      if (fault.isCutAt(number)) return cutStream(request, response, number, fault.isUnframed);
      const named = fault.versionAt(number, versionNow());
      response.write(eventText(id, number, named === version ? undefined : named));
      version = versionNow();
    }
    response.end();
  }

  /** Faults of a stream that begins now with event `first`. */
  private takeStreamFault(first: number) {
    const isUnframed = this.take('unframedStreams');
    const isCut = this.take('streamsToBreak') || isUnframed;
    const isUnreadable = this.take('unreadableVersions');
    return {
      isUnframed,
      isCutAt: (number: number) => isCut && number - first >= this.breakAfterEvents,
      versionAt: (number: number, version: number) => (isUnreadable && number === first + 1 ? 'x' : version),
    };
  }

  /** Whether a fault strikes now; counts it. */
  private take(fault: CountedFault): boolean {
    if (this[fault] <= 0) return false;
    this[fault] -= 1;
    return true;
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
    if (this.take('ordersToDelay')) {
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
    const { incarnation } = this;
    setTimeout(() => {
      if (incarnation !== this.incarnation) return;
      this.isLoading = false;
      this.versions.set(order.model, order.version);
      this.beat();
    }, this.loadMs);
    return 202;
  }
}
