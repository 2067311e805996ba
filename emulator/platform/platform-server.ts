/**
 * Stand-ins of the platform in one server: the store (faults of `table` for its rows, of `store` for its
 * objects), the weight store under `/weights`, the machine list under `/list`. Faults are set by `PUT
 * /control/{part}/faults`.
 */
import { STORE_PATH } from '../../platform/names.js';
import { sleep } from '../../src/common/clock.js';
import type { Machine } from '../../src/protocol/resource/machine-list.js';
import { MachineSchema } from '../../src/protocol/resource/machine-list.js';
import { Validator } from '../../src/protocol/validation.js';
import { type Handler, type HttpServer, sendJson } from '../../src/transport/http-server.js';
import { createStandInServer, FaultInjector, readControlJson } from '../faults.js';
import { StoreServer } from '../store/store-server.js';

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
  readonly store = new StoreServer();
  private readonly machines = new Map<string, Machine>();
  private readonly server: HttpServer = createStandInServer();
  private readonly faults: Record<Part, FaultInjector>;
  private weightReads = 0;

  constructor(private readonly options: PlatformOptions = {}) {
    this.faults = Object.fromEntries(PARTS.map((part) => [part, new FaultInjector()])) as Record<
      Part,
      FaultInjector
    >;
    for (const part of PARTS) this.faults[part].addControl(this.server, `/control/${part}/faults`);
    this.addStoreRoutes();
    this.addWeightRoutes();
    this.addMachineRoutes();
  }

  /** Starts; resolves to the base URL. */
  async start(host: string, port: number): Promise<string> {
    return `http://${host}:${await this.server.listen(host, port)}`;
  }

  /** Stops at once. */
  stop(): void {
    this.server.destroy();
  }

  /** The store's calls, with the faults of the part that they belong to around them. */
  private addStoreRoutes(): void {
    const { table, store } = this.faults;
    const { transaction, rows, feed, putObject, getObject, dropObject, listObjects } = STORE_PATH;
    const serve: Handler = (request, response) => this.store.serve(request, response);
    this.server.route('ALL', transaction, table.around(serve));
    for (const path of [rows, feed]) this.server.route('ALL', path, table.aroundReads(serve));
    for (const path of [putObject, getObject, dropObject])
      this.server.route('ALL', `${path}*`, store.around(serve));
    this.server.route('ALL', listObjects, store.around(serve));
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
