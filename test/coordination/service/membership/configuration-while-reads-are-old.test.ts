/**
 * What users saw: nodes refused routes with 404 that the operator had added, and ran requests by routes that had moved,
 * for many seconds after the store had acknowledged the change.
 *
 * The order of events: the store drops the history of its tables, right after a change; every node must read the tables
 * whole; reads of ranges show the rows as they were some seconds before, while transactions and questions for changes
 * are answered from the newest rows.
 *
 * The cause: a whole read was the only way on, and it was taken only when it was as new as the newest answer that the
 * process had had, about whatever table. The first table that was read whole was followed again, its answers were new, and
 * from then on every read of the other tables was thrown away as too old. Meanwhile the node counted as in reach of the
 * store, so that it said 404 with certainty.
 *
 * The evidence: with 84 nodes and reads that were 6 s old for 13 s, the change was in force after 6.0 s on the nodes whose
 * question for the configuration was the first to be answered, and after 13.0 to 13.6 s on 13 to 23 others, until reads were
 * new again; three runs. With more frequent changes of other tables two nodes of three were late.
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
/** The operator's bound for a change to be in force, milliseconds. */
const BOUND_MS = 2_000;
/** Reads show the rows as they were this much earlier, milliseconds: far beyond the bound. */
const STALENESS_MS = 20_000;
/** How far reads are behind while a node starts, milliseconds: they show the replicas, and not the change. */
const STARTUP_STALENESS_MS = 4_000;
const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;
const STATUS_UNAVAILABLE = 503;

describe('configuration while reads of the store are old', () => {
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

  /** Writes a configuration with one route that only it has. */
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

  it('is in force within its bound on every node, whether it changed as the history was lost or later', async () => {
    system.store.readsBehindMs = STALENESS_MS;
    for (const version of [2, 3]) {
      const path = addRoute(version);
      if (version === 2) system.store.rows.forgetHistory();
      const writtenAtMs = monotonicMs();
      await untilServedEverywhere(path);
      expect(monotonicMs() - writtenAtMs, `version ${version}`).to.be.lessThan(BOUND_MS);
    }
  });

  it('is not denied by a node that starts meanwhile', async () => {
    const versionBefore = system.store.rows.version;
    const readsShow = () =>
      system.store.rows.scanPast(TABLE.operator, '', '', undefined, STARTUP_STALENESS_MS);
    await until('old reads show the replicas', () => readsShow().version >= versionBefore);
    system.store.readsBehindMs = STARTUP_STALENESS_MS;
    const path = addRoute(2);
    system.store.rows.forgetHistory();
    const newcomer = await system.addNode('newcomer');
    const statuses = new Set<number | undefined>();
    await until('the newcomer serves', async () => {
      const status = await statusOf(newcomer, path);
      statuses.add(status);
      return status === STATUS_OK;
    });
    expect([...statuses]).not.to.include(STATUS_NOT_FOUND);
  });

  it('is not denied with certainty by a node whose long poll for it alone is not answered', async () => {
    system.store.silentTable = TABLE.operator;
    const path = addRoute(2);
    const node = system.nodes[0] as ServiceNodeProcess;
    await until('the node is not certain any more', async () => {
      const status = await statusOf(node, path);
      return status === STATUS_UNAVAILABLE;
    });
    system.store.silentTable = undefined;
    await untilServedEverywhere(path);
  });
});
