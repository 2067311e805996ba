/** Stand-ins of the platform's replicas (PROTOCOL.md, "Replicas"): an application service and a model engine. */
import { createServer } from 'node:http';

const HEARTBEAT_MS = 1_200;
const QUEUE = 24;

/** Base: announces itself in the store, checks `Expect-Replica`, and limits what it runs at once. */
class Replica {
  constructor(store, record, { id, service, zone = 'zone-a', slots = 6, host = '127.0.0.1' }) {
    Object.assign(this, { store, record, id, service, zone, slots, host });
    this.running = 0;
    this.queue = [];
    this.isDraining = false;
    this.seq = 0;
    this.server = createServer((request, response) => this.receive(request, response));
    this.server.keepAliveTimeout = 60_000;
  }

  async start() {
    await new Promise((resolve) => this.server.listen({ host: this.host, port: 0 }, resolve));
    this.addr = `${this.host}:${this.server.address().port}`;
    this.announce();
    this.timer = setInterval(() => this.announce(), HEARTBEAT_MS);
    return this;
  }

  fields() {
    return {};
  }

  announce() {
    const state = this.isDraining ? 'draining' : 'ready';
    const { service, addr, zone, slots } = this;
    this.seq += 1;
    this.store.put('servers', this.id, {
      service, addr, zone, version: 'v1', slots, state, coldLeftMs: 0, seq: this.seq, ...this.fields(),
    });
  }

  stop() {
    clearInterval(this.timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  receive(request, response) {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('error', () => {});
    response.on('error', () => {});
    request.on('end', () => this.dispatch(request, response, Buffer.concat(chunks)));
  }

  dispatch(request, response, body) {
    const id = request.headers['request-id'];
    const expected = request.headers['expect-replica'];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { 'request-id': id ?? '', 'not-executed': '1', 'replica-id': this.id }).end();
      return;
    }
    if (request.url === '/report' || request.url === '/order') return this.control(request, response, body);
    const work = { request, response, body, id };
    if (this.running < this.slots) this.begin(work);
    else if (this.queue.length < QUEUE) this.queue.push(work);
    else response.writeHead(503, { 'request-id': id ?? '', 'not-executed': '1' }).end();
  }

  control(_request, response) {
    response.writeHead(404).end();
  }

  begin(work) {
    this.running += 1;
    void this.run(work).finally(() => {
      this.running -= 1;
      let next = this.queue.shift();
      while (next?.response.destroyed) next = this.queue.shift();
      if (next) this.begin(next);
    });
  }
}

const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Runs each request for the time that `workMs(request)` gives and answers with its id and a stamp. */
export class Application extends Replica {
  constructor(store, record, options) {
    super(store, record, options);
    this.workMs = options.workMs ?? (() => 30);
  }

  async run({ request, response, body, id }) {
    this.record({ event: 'run', replica: this.id, id, path: request.url, bytes: body.length });
    const workMs = this.workMs(request, body);
    const deadlineMs = Number(request.headers['deadline-ms'] ?? 30_000);
    await sleep(Math.min(workMs, deadlineMs));
    if (response.destroyed) {
      this.record({ event: 'caller gone', replica: this.id, id });
      return;
    }
    const isLate = workMs > deadlineMs;
    const answer = Buffer.from(`answer to ${id}`);
    const stamp = `${this.id}.${id}`;
    response.writeHead(isLate ? 504 : 200, {
      'request-id': id, 'replica-stamp': stamp, 'content-length': String(answer.length),
    });
    response.end(answer);
    this.record({ event: 'done', replica: this.id, id, status: isLate ? 504 : 200 });
  }
}

/** The text of event `n` of an item, the same at every replica. */
export const eventText = (id, n, bytes = 0) => `${id}-${n}`.padEnd(bytes, '.');

/** Streams `events(id)` events, `eventMs` apart; takes weight versions by order. */
export class Engine extends Replica {
  constructor(store, record, options) {
    super(store, record, { slots: 8, ...options });
    this.events = options.events ?? (() => 20);
    this.eventMs = options.eventMs ?? (() => 20);
    this.loadMs = options.loadMs ?? 900;
    this.padding = options.padding ?? 0;
    this.models = new Map(Object.entries(options.models ?? {}));
    this.orders = 0;
    this.isBusy = false;
  }

  fields() {
    return { stage: 'both', models: [...this.models].map(([name, version]) => ({ name, version, adapters: [] })) };
  }

  control(request, response, body) {
    if (request.url === '/report') {
      const { running, orders: seq, isBusy: busy, queue } = this;
      const report = { ...this.fields(), busy, seq, waiting: queue.length, running, kvUsed: 0, kvTotal: 100_000, handles: 0 };
      response.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify(report));
      return;
    }
    const { model, version, holder, fence, expected } = JSON.parse(body.toString('utf8'));
    let status = 202;
    if (this.models.get(model) === version) status = 200;
    else if (this.isBusy || (expected !== undefined && expected !== this.orders)) status = 409;
    this.record({ event: 'order', replica: this.id, model, version, holder, fence, status });
    if (status === 202) {
      this.orders += 1;
      this.isBusy = true;
      setTimeout(() => {
        this.models.set(model, version);
        this.isBusy = false;
        this.announce();
      }, this.loadMs);
    }
    response.writeHead(status).end();
  }

  async run({ request, response, id }) {
    const model = request.headers.model;
    const from = Number(request.headers['last-event-id'] ?? 0);
    const total = this.events(id);
    const version = this.models.get(model) ?? 1;
    this.record({ event: 'item', replica: this.id, id, after: from });
    response.writeHead(200, {
      'content-type': 'text/event-stream', 'request-id': id, 'replica-stamp': `${this.id}.${id}`,
      'weight-versions': String(version),
    });
    let last = version;
    for (let n = from + 1; n <= total; n += 1) {
      await sleep(this.eventMs(id));
      if (response.destroyed) return;
      const now = this.models.get(model) ?? 1;
      const change = now === last ? '' : `weight-versions: ${now}\n`;
      last = now;
      response.write(`${change}id: ${n}\ndata: ${eventText(id, n, this.padding)}\n\n`);
    }
    response.end();
    this.record({ event: 'item done', replica: this.id, id });
  }
}
