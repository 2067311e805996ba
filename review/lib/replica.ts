/**
 * Sound stand-ins of replicas, as PROTOCOL.md describes them: a model engine and an application service. Each
 * announces itself in the store's rows, and keeps what reached it and what it ran.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import type { StoreServer } from '../../emulator/store/store-server.js';
import { nowMs, record } from './record.js';

const HEARTBEAT_MS = 1_200;
/** Heartbeats of silence after which the store drops the row of a replica. */
const SILENT_HEARTBEATS = 3;

/** One request at a replica, times by the clock of the record. */
export interface Run {
  readonly id: string;
  readonly replica: string;
  readonly fromMs: number;
  /** Infinite while it runs. */
  untilMs: number;
  /** Events made, by number. */
  readonly firstEvent: number;
  lastEvent: number;
  readonly versions: number[];
  end: 'running' | 'whole' | 'client left' | 'crashed' | 'failed';
}

/** What a replica answered without running it. */
export interface Decline {
  readonly id: string;
  readonly replica: string;
  readonly atMs: number;
  readonly status: number;
}

export interface ReplicaOptions {
  readonly service: string;
  readonly zone: string;
  readonly slots: number;
}

let nextId = 1;

export abstract class Replica {
  readonly id = `i-${(0xa0000 + 7919 * nextId++).toString(16)}`;
  readonly runs: Run[] = [];
  readonly declines: Decline[] = [];
  address = '';
  isUp = false;
  protected sequence = 0;
  private readonly sockets = new Set<Socket>();
  private readonly server: Server = createServer((request, response) => void this.receive(request, response));
  private timer: NodeJS.Timeout | undefined;

  constructor(
    protected readonly store: StoreServer,
    readonly options: ReplicaOptions,
  ) {}

  async start(): Promise<this> {
    this.server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
      socket.on('error', () => socket.destroy());
    });
    await new Promise<void>((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    this.address = `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
    this.isUp = true;
    return this;
  }

  /** Begins its heartbeats. */
  announce(): void {
    this.beat();
    this.timer = setInterval(() => this.beat(), HEARTBEAT_MS);
  }

  /** Ends at once and for good; its row goes after three heartbeats. */
  crash(): void {
    record(`replica ${this.id} crashes with ${this.running} requests`);
    this.stop();
    for (const run of this.runs) if (run.end === 'running') this.finish(run, 'crashed');
    setTimeout(() => this.store.rows.remove('servers', this.id), HEARTBEAT_MS * SILENT_HEARTBEATS);
  }

  /** Ends at once, for the end of the script. */
  stop(): void {
    this.isUp = false;
    clearInterval(this.timer);
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  get running(): number {
    return this.runs.filter(({ end }) => end === 'running').length;
  }

  protected beat(): void {
    if (!this.isUp) return;
    this.sequence += 1;
    this.store.rows.put('servers', this.id, {
      service: this.options.service,
      addr: this.address,
      zone: this.options.zone,
      version: 'v1',
      slots: this.options.slots,
      state: 'ready',
      coldLeftMs: 0,
      ...this.row(),
      seq: this.sequence,
    });
  }

  protected begin(id: string, firstEvent = 0): Run {
    const run: Run = {
      id,
      replica: this.id,
      fromMs: nowMs(),
      untilMs: Number.POSITIVE_INFINITY,
      firstEvent,
      lastEvent: firstEvent - 1,
      versions: [],
      end: 'running',
    };
    this.runs.push(run);
    return run;
  }

  protected finish(run: Run, end: Run['end']): void {
    if (run.end !== 'running') return;
    run.end = end;
    run.untilMs = nowMs();
    record(`ran ${run.id} at ${this.id} events ${run.firstEvent}-${run.lastEvent}: ${end}`);
  }

  protected decline(response: ServerResponse, id: string, status: number): void {
    this.declines.push({ id, replica: this.id, atMs: nowMs(), status });
    record(`declined ${id} at ${this.id}: ${status}`);
    response
      .writeHead(status, {
        'request-id': id,
        'not-executed': '1',
        'replica-id': this.id,
        'content-length': 0,
      })
      .end();
  }

  protected abstract row(): object;
  protected abstract serve(request: IncomingMessage, response: ServerResponse, body: Buffer): Promise<void>;

  private async receive(request: IncomingMessage, response: ServerResponse): Promise<void> {
    response.on('error', () => {});
    const chunks: Buffer[] = [];
    try {
      for await (const chunk of request) chunks.push(chunk as Buffer);
    } catch {
      return;
    }
    if (!this.isUp) return;
    const expected = request.headers['expect-replica'];
    if (expected !== undefined && expected !== this.id)
      return this.decline(response, String(request.headers['request-id'] ?? ''), 421);
    await this.serve(request, response, Buffer.concat(chunks));
  }
}

/** How an engine makes the events of an item. */
export interface Generation {
  readonly events: number;
  readonly eventMs: number;
  readonly data: (event: number) => string;
}

export class Engine extends Replica {
  version = 1;
  isLoading = false;
  private orderCount = 0;

  constructor(
    store: StoreServer,
    options: ReplicaOptions,
    private readonly model: string,
    private readonly loadMs: number,
    private readonly generationOf: (itemId: string) => Generation,
  ) {
    super(store, options);
  }

  protected row(): object {
    return { stage: 'both', models: this.models };
  }

  private get models(): object[] {
    return [{ name: this.model, version: this.version, adapters: [] }];
  }

  protected async serve(request: IncomingMessage, response: ServerResponse, body: Buffer): Promise<void> {
    if (request.url === '/report') return this.report(response);
    if (request.url === '/order') return this.takeOrder(response, body);
    const id = String(request.headers['request-id'] ?? '');
    const expectedVersion = request.headers['expect-version'];
    if (expectedVersion !== undefined && Number(expectedVersion) !== this.version)
      return this.decline(response, id, 421);
    if (this.isLoading || this.running >= this.options.slots) return this.decline(response, id, 503);
    await this.generate(request, response, id);
  }

  private async generate(request: IncomingMessage, response: ServerResponse, id: string): Promise<void> {
    const { events, eventMs, data } = this.generationOf(id);
    const first = Number(request.headers['last-event-id'] ?? 0) + 1;
    const endsAtMs = nowMs() + Number(request.headers['deadline-ms'] ?? Number.POSITIVE_INFINITY);
    const run = this.begin(id, first);
    let { version } = this;
    response.on('close', () => this.finish(run, 'client left'));
    response.writeHead(200, {
      'request-id': id,
      'replica-stamp': `stamp-${id}`,
      'weight-versions': String(version),
      'content-type': 'text/event-stream',
    });
    for (let event = first; event <= events; event += 1) {
      await new Promise((resolve) => setTimeout(resolve, eventMs));
      if (run.end !== 'running') return;
      if (nowMs() > endsAtMs) {
        this.finish(run, 'failed');
        response.destroy();
        return;
      }
      const change = version === this.version ? '' : `weight-versions: ${this.version}\n`;
      version = this.version;
      response.write(`${change}id: ${event}\ndata: ${data(event)}\n\n`);
      run.lastEvent = event;
      run.versions.push(version);
    }
    this.finish(run, 'whole');
    response.end();
  }

  private report(response: ServerResponse): void {
    const body = {
      stage: 'both',
      models: this.models,
      busy: this.isLoading,
      seq: this.orderCount,
      waiting: 0,
      running: this.running,
      kvUsed: 0,
      kvTotal: 100_000,
      handles: 0,
    };
    response.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify(body));
  }

  private takeOrder(response: ServerResponse, body: Buffer): void {
    const { holder, fence, model, version, expected } = JSON.parse(body.toString('utf8')) as {
      holder: string;
      fence: number;
      model: string;
      version: number;
      expected?: number;
    };
    const status = this.carryOut(version, expected);
    record(`order at ${this.id} from ${holder} fence ${fence}: ${model} version ${version}: ${status}`);
    response.writeHead(status, { 'content-type': 'application/json' }).end('{}');
  }

  private carryOut(version: number, expected: number | undefined): number {
    if (version === this.version) return 200;
    if (this.isLoading || (expected !== undefined && expected !== this.orderCount)) return 409;
    this.orderCount += 1;
    this.isLoading = true;
    setTimeout(() => {
      if (!this.isUp) return;
      this.isLoading = false;
      this.version = version;
      record(`replica ${this.id} has version ${version}`);
      this.beat();
    }, this.loadMs);
    return 202;
  }
}

/** An application service: answers each request after a time, with a signed body. */
export class Application extends Replica {
  constructor(
    store: StoreServer,
    options: ReplicaOptions,
    private readonly workMs: number,
    private readonly answerOf: (id: string) => Buffer = (id) => Buffer.from(`answer to ${id}`),
  ) {
    super(store, options);
  }

  protected row(): object {
    return {};
  }

  protected async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const id = String(request.headers['request-id'] ?? '');
    if (this.running >= this.options.slots) return this.decline(response, id, 503);
    const run = this.begin(id);
    response.on('close', () => this.finish(run, 'client left'));
    await new Promise((resolve) => setTimeout(resolve, this.workMs));
    if (run.end !== 'running') return;
    const body = this.answerOf(id);
    response.writeHead(200, {
      'request-id': id,
      'replica-stamp': `stamp-${id}`,
      'content-length': String(body.length),
    });
    this.finish(run, 'whole');
    response.end(body);
  }
}
