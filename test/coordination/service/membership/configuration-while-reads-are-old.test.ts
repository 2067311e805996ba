/**
 * Guards against routes that stay unknown, or outdated, while the store has lost its change history and its scans
 * return rows from several seconds ago.
 */
import { expect } from 'chai';
import { TABLE } from '../../../../platform/names.js';
import { monotonicMs } from '../../../../src/common/clock.js';
import {
  APPLICATION_SERVICE,
  HOST,
  type ServiceNodeProcess,
  ServiceSystem,
  usualConfiguration,
} from '../../../support/service-system.js';
import { until } from '../../../support/wait.js';

const NODES = 6;
/** Bound within which a configuration change must be in force, milliseconds. */
const BOUND_MS = 2_000;
/** Age of the rows that scans return, milliseconds: far beyond the bound. */
const STALENESS_MS = 20_000;
/** Staleness of scans while a node starts, milliseconds: they show the replicas but not the change. */
const STARTUP_STALENESS_MS = 4_000;
const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;
const STATUS_UNAVAILABLE = 503;

describe('Configuration while scans of the store are stale', () => {
  let system: ServiceSystem;
  let requestCount = 0;

  beforeEach(async () => {
    system = await ServiceSystem.start();
    for (let count = 0; count < 2; count += 1) await system.addApplication();
    const names = Array.from({ length: NODES }, (_, at) => `node-${at}`);
    const settings = { 'bounds.configApplyMs': String(BOUND_MS) };
    const nodes = await Promise.all(names.map((name) => system.addNode(name, settings)));
    await Promise.all(nodes.map((node) => system.untilReady(node)));
  });
  afterEach(() => system.stop());

  /** Writes a configuration with one additional route and returns its path. */
  function addRoute(version: number): string {
    const path = `/added-${version}/`;
    const base = usualConfiguration(version);
    const added = { ...base.routes[0], name: 'added', host: HOST, pathPrefix: path, kind: 'safe' };
    system.configure({ ...base, routes: [...base.routes, { ...added, service: APPLICATION_SERVICE }] });
    return path;
  }

  async function statusOf(node: ServiceNodeProcess, path: string): Promise<number | undefined> {
    requestCount += 1;
    return (await system.lookup(node, `asked-${requestCount}`, {}, path))?.status;
  }

  async function untilServedEverywhere(path: string): Promise<void> {
    const isServed = async (node: ServiceNodeProcess) => (await statusOf(node, path)) === STATUS_OK;
    await Promise.all(system.nodes.map((node) => until(`${node.name} serves`, () => isServed(node))));
  }

  it('applies a change within the bound on every node, whether the history is lost at the change or before it', async () => {
    system.store.readsBehindMs = STALENESS_MS;
    for (const version of [2, 3]) {
      const path = addRoute(version);
      if (version === 2) system.store.rows.forgetHistory();
      const writtenAtMs = monotonicMs();
      await untilServedEverywhere(path);
      expect(monotonicMs() - writtenAtMs, `version ${version}`).to.be.lessThan(BOUND_MS);
    }
  });

  it('does not answer 404 for a new route from a node that starts while scans are stale', async () => {
    const versionBefore = system.store.rows.version;
    const readsShow = () =>
      system.store.rows.scanPast(TABLE.operator, '', '', undefined, STARTUP_STALENESS_MS);
    await until('stale scans show the replicas', () => readsShow().version >= versionBefore);
    system.store.readsBehindMs = STARTUP_STALENESS_MS;
    const path = addRoute(2);
    system.store.rows.forgetHistory();
    const newcomer = await system.addNode('newcomer');
    const statuses = new Set<number | undefined>();
    await until('the new node serves the route', async () => {
      const status = await statusOf(newcomer, path);
      statuses.add(status);
      return status === STATUS_OK;
    });
    expect([...statuses]).not.to.include(STATUS_NOT_FOUND);
  });

  it('answers 503 instead of 404 when only the long poll for the configuration gets no answer', async () => {
    system.store.silentTable = TABLE.operator;
    const path = addRoute(2);
    const node = system.nodes[0] as ServiceNodeProcess;
    await until('the node answers 503', async () => {
      const status = await statusOf(node, path);
      return status === STATUS_UNAVAILABLE;
    });
    system.store.silentTable = undefined;
    await untilServedEverywhere(path);
  });
});
