/**
 * Stand-ins of the platform in one server: table service under `/table`, object store under `/store`, weight store
 * under `/weights`, machine list under `/list`. Each part has faults of its own: `PUT /control/{part}/faults`.
 */
import { sleep } from '../../src/common/clock.js';
import type { Machine } from '../../src/protocol/machine-list.js';
import { MachineSchema } from '../../src/protocol/machine-list.js';
import { ReadSchema, ScanSchema, TransactionSchema } from '../../src/protocol/table-service.js';
import { Validator } from '../../src/protocol/validation.js';
import { readWhole } from '../../src/transport/http-client.js';
import { type HttpServer, sendJson } from '../../src/transport/http-server.js';
import { createStandInServer, FaultInjector, readControlJson } from '../faults.js';
import { MemoryTable } from './table.js';

const BODY_LIMIT_BYTES = 64 * 1024 * 1024;
const transaction = new Validator(TransactionSchema);
const read = new Validator(ReadSchema);
const scan = new Validator(ScanSchema);
const machine = new Validator(MachineSchema);

/** How the platform is set up. */
export interface PlatformOptions {
  /** Time until a change of the machine list shows, milliseconds. Default 0. */
  readonly machineLagMs?: number;
  /** Time that the weight store takes for one read, milliseconds. Default 20. */
  readonly weightReadMs?: number;
}

const DEFAULT_WEIGHT_READ_MS = 20;
const PARTS = ['table', 'store', 'weights', 'list'] as const;
type Part = (typeof PARTS)[number];

/** The platform's stand-ins. */
export class PlatformServer {
  readonly table = new MemoryTable();
  private readonly objects = new Map<string, Buffer>();
  private readonly machines = new Map<string, Machine>();
  private readonly server: HttpServer = createStandInServer();
  private readonly faults: Record<Part, FaultInjector>;
  private weightReads = 0;
  private calls = 0;

  constructor(private readonly options: PlatformOptions = {}) {
    this.faults = Object.fromEntries(PARTS.map((part) => [part, new FaultInjector()])) as Record<
      Part,
      FaultInjector
    >;
    for (const part of PARTS) this.faults[part].addControl(this.server, `/control/${part}/faults`);
    this.addTableRoutes();
    this.addObjectRoutes();
    this.addWeightRoutes();
    this.addMachineRoutes();
  }

  /** Calls of the table service so far. */
  get callCount(): number {
    return this.calls;
  }

  /** Starts; resolves to the base URL. */
  async start(host: string, port: number): Promise<string> {
    return `http://${host}:${await this.server.listen(host, port)}`;
  }

  /** Stops at once. */
  stop(): void {
    this.server.destroy();
  }

  private addTableRoutes(): void {
    const route = <Value>(path: string, check: (body: unknown) => Value, answer: (value: Value) => unknown) =>
      this.server.route(
        'POST',
        `/table/${path}`,
        this.faults.table.around(async (request, response) => {
          this.calls += 1;
          const value = check(await readControlJson(request, BODY_LIMIT_BYTES));
          sendJson(response, 200, answer(value));
        }),
      );
    route(
      'transact',
      (body) => transaction.check(body)._unsafeUnwrap(),
      (value) => this.table.transact(value),
    );
    route(
      'read',
      (body) => read.check(body)._unsafeUnwrap(),
      (value) => ({ rows: this.table.read(value.keys) }),
    );
    route(
      'scan',
      (body) => scan.check(body)._unsafeUnwrap(),
      ({ prefix, after, limit }) => ({ rows: this.table.scan(prefix, after, limit) }),
    );
  }

  private addObjectRoutes(): void {
    const { store } = this.faults;
    this.server.route(
      'GET',
      '/store/objects',
      store.around(async (request, response) => {
        const prefix = new URL(request.url ?? '', 'http://store').searchParams.get('prefix') ?? '';
        sendJson(response, 200, {
          names: [...this.objects.keys()].filter((name) => name.startsWith(prefix)).sort(),
        });
      }),
    );
    this.server.route(
      'PUT',
      '/store/objects/:name',
      store.around(async (request, response) => {
        const body = await readWhole(request, BODY_LIMIT_BYTES);
        this.objects.set(nameOf(request), body._unsafeUnwrap());
        sendJson(response, 200, {});
      }),
    );
    this.server.route(
      'GET',
      '/store/objects/:name',
      store.around(async (request, response) => {
        const bytes = this.objects.get(nameOf(request));
        if (!bytes) {
          sendJson(response, 404, { error: 'no such object' });
          return;
        }
        response.writeHead(200, { 'content-length': bytes.length });
        response.end(bytes);
      }),
    );
  }

  private addWeightRoutes(): void {
    this.server.route(
      'GET',
      '/weights/:name',
      this.faults.weights.around(async (_request, response) => {
        this.weightReads += 1;
        await sleep(this.options.weightReadMs ?? DEFAULT_WEIGHT_READ_MS);
        sendJson(response, 200, { bytes: 0, reads: this.weightReads });
      }),
    );
  }

  private addMachineRoutes(): void {
    this.server.route(
      'GET',
      '/list/machines',
      this.faults.list.around(async (_request, response) => {
        sendJson(response, 200, { machines: [...this.machines.values()] });
      }),
    );
    this.server.route('PUT', '/control/machines', async (request, response) => {
      const changed = machine.check(await readControlJson(request))._unsafeUnwrap();
      setTimeout(() => this.machines.set(changed.name, changed), this.options.machineLagMs ?? 0);
      sendJson(response, 200, {});
    });
  }
}

function nameOf(request: unknown): string {
  return decodeURIComponent((request as { params: { name: string } }).params.name);
}
