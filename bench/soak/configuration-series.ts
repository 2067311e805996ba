/**
 * The configurations that the operator of a soak writes. Each one adds a route, drops the oldest of the added
 * ones, moves a route to the other of two services, and changes a time-out and a key; so that what a node
 * does with a request tells which of them it has in force. The route of the scoring calls is missing now and then.
 */
import { monotonicMs } from '../../src/common/clock.js';
import {
  APPLICATION_SERVICE,
  HOST,
  MODEL,
  type ServiceSystem,
  usualConfiguration,
} from '../../test/support/service-system.js';
import { LARGE, SMALL, type TenantRow } from '../../test/support/tenants.js';

/** Models that the engines serve. */
export const MODELS: readonly string[] = [MODEL, 'model-b'];
/** A key that is added and removed: whether it is accepted depends on the configuration in force. */
export const CHANGING_KEY = 'changing-key';
/** The service that the moved route leads to with every other configuration. */
export const SECOND_SERVICE = 'application-b';
export const MOVED_PATH = '/moved/';

/** Added routes that a configuration has. */
const KEPT_ROUTES = 3;
/** Versions rise by uneven steps, up to this one. */
const LONGEST_STEP = 7;
const FIRST_TIMEOUT_MS = 1_500;
const LARGE_ROUTES = 400;

/** One configuration as written. */
export interface WrittenConfiguration {
  readonly version: number;
  /** When the store acknowledged it, milliseconds; the stand-in acknowledges at once. */
  readonly writtenAtMs: number;
  /** Paths of the added routes that it has. */
  readonly addedPaths: ReadonlySet<string>;
  /** Service of the moved route. */
  readonly movedTo: string;
}

/** Path of the route that the configuration with this number adds. */
function addedPath(number: number): string {
  return `/added-${number}/`;
}

/** Tenants: with every other configuration, the large one has the changing key. */
function tenantsOf(number: number): TenantRow[] {
  const apiKeys = number % 2 === 0 ? [...LARGE.apiKeys, CHANGING_KEY] : LARGE.apiKeys;
  return [{ ...LARGE, apiKeys }, SMALL];
}

function publicRoute(path: string, service: string): object {
  return {
    ...usualConfiguration(0).routes[0],
    name: path,
    host: HOST,
    pathPrefix: path,
    service,
    public: true,
  };
}

/** All configurations of one soak, the first to the newest. */
export class ConfigurationSeries {
  readonly written: WrittenConfiguration[] = [];
  private hasScoringRoute = true;

  /** `isSingleVersion`: whether each sample must be of one weight version. */
  constructor(
    private readonly system: ServiceSystem,
    private readonly idleRoutes: number,
    readonly isSingleVersion: boolean,
  ) {}

  /** Path of the route that was added last, and of the one that was dropped last. */
  get newestPath(): string {
    return addedPath(this.written.length - 1);
  }

  get droppedPath(): string {
    return addedPath(this.written.length - 1 - KEPT_ROUTES);
  }

  /** Drops the route of the scoring calls, or adds it again. */
  setScoringRoute(isPresent: boolean): void {
    this.hasScoringRoute = isPresent;
    this.change();
  }

  /** Writes the next configuration. A large one has some hundred routes more. */
  change(isLarge = false): void {
    const number = this.written.length;
    const version = (this.written.at(-1)?.version ?? 0) + 1 + (number % LONGEST_STEP);
    const numbers = Array.from({ length: KEPT_ROUTES }, (_, back) => number - back);
    const addedPaths = new Set(numbers.map(addedPath));
    const movedTo = number % 2 === 0 ? APPLICATION_SERVICE : SECOND_SERVICE;
    this.system.configure(this.row(number, version, addedPaths, movedTo, isLarge));
    this.written.push({ version, writtenAtMs: monotonicMs(), addedPaths, movedTo });
  }

  private row(
    number: number,
    version: number,
    addedPaths: ReadonlySet<string>,
    movedTo: string,
    isLarge: boolean,
  ): object {
    const usual = usualConfiguration(version, {
      lookup: { timeoutMs: FIRST_TIMEOUT_MS + number },
      score: { public: true },
      jobs: { singleVersion: this.isSingleVersion },
    });
    const routes = usual.routes.filter(({ name }) => this.hasScoringRoute || name !== 'score');
    const engine = { slots: 4, models: MODELS.map((name) => ({ name })) };
    const services = usual.services.map((service) =>
      'engine' in service ? { ...service, engine } : service,
    );
    const idle = Array.from({ length: isLarge ? LARGE_ROUTES : this.idleRoutes }, (_, at) =>
      publicRoute(`/idle-${at}/`, APPLICATION_SERVICE),
    );
    const added = [...addedPaths].map((path) => publicRoute(path, APPLICATION_SERVICE));
    return {
      ...usual,
      routes: [...routes, ...idle, ...added, publicRoute(MOVED_PATH, movedTo)],
      services: [...services, { name: SECOND_SERVICE, maxConns: 100 }],
      tenants: tenantsOf(number),
    };
  }
}
