/** Usage reports: one per window without gaps, and never two different ones, also across node failures. */
import { expect } from 'chai';
import type { ReplicaServer } from '../../../../emulator/replica/replica-server.js';
import { kill, type ServiceNodeProcess, ServiceSystem } from '../../../support/service-system.js';
import { bearing, begunByWindow, reportBreaches, tenantConfiguration } from '../../../support/tenants.js';
import { until } from '../../../support/wait.js';

const WINDOW_MS = 1_000;
const DUE_MS = 5_000;
/** Handover guard of the test system's nodes. */
const HANDOVER_GUARD_MS = 1_000;
const KEYS = ['large-key-1', 'large-key-2', 'small-key-1'];

describe('UsageAccounting', () => {
  let system: ServiceSystem;
  let application: ReplicaServer;
  let nodes: ServiceNodeProcess[];
  let requestCount = 0;

  beforeEach(async () => {
    system = await ServiceSystem.start();
    system.configure(tenantConfiguration(2));
    await system.reportUsage(WINDOW_MS, DUE_MS);
    application = await system.addApplication({ slots: 8 });
    nodes = await Promise.all(['node-1', 'node-2', 'node-3'].map((name) => system.addNode(name)));
    await Promise.all(nodes.map((node) => system.untilReady(node)));
  });

  afterEach(() => system.stop());

  async function send(to: readonly ServiceNodeProcess[], count: number): Promise<void> {
    for (let index = 0; index < count; index += 1) {
      requestCount += 1;
      const node = to[index % to.length] as ServiceNodeProcess;
      await system.lookup(
        node,
        `request-${requestCount}`,
        bearing(KEYS[requestCount % KEYS.length] as string),
      );
    }
  }

  /** Waits until all windows up to the current one are reported. */
  async function untilReported(): Promise<void> {
    const last = Math.floor(Date.now() / WINDOW_MS);
    await until('all windows are reported', () => system.usage.reports.some(({ window }) => window > last));
  }

  /** Total number of requests that reports omit or add, over all windows and tenants. */
  function miscountedRequests(): number {
    const reported = new Map(system.usage.reports.map(({ window, counts }) => [window, counts]));
    const begun = begunByWindow([application], WINDOW_MS);
    let wrong = 0;
    for (const window of new Set([...reported.keys(), ...begun.keys()]))
      for (const tenant of ['large', 'small'])
        wrong += Math.abs((reported.get(window)?.[tenant] ?? 0) - (begun.get(window)?.[tenant] ?? 0));
    return wrong;
  }

  /** Expects a report for every window between the first and the last one. */
  function expectNoGaps(): void {
    const windows = [...new Set(system.usage.reports.map(({ window }) => window))].sort((a, b) => a - b);
    const [first = 0] = windows;
    expect(windows).to.deep.equal(windows.map((_, at) => first + at));
  }

  function currentLeader(): ServiceNodeProcess {
    const name = system.usage.reports.at(-1)?.holder;
    return nodes.find((node) => node.name === name) as ServiceNodeProcess;
  }

  /** A request is counted just before it begins to run, so at the edge of a window possibly in the earlier one. */
  const EDGE_TOLERANCE = 4;

  it('reports each window from one node, with the requests that replicas began', async () => {
    await untilReported();
    await send(nodes, 60);
    await untilReported();
    expectNoGaps();
    expect(reportBreaches(system.usage.reports, HANDOVER_GUARD_MS)).to.deep.equal([]);
    expect(miscountedRequests()).to.be.at.most(EDGE_TOLERANCE);
    const total = system.usage.reports.reduce(
      (sum, { counts }) => sum + (counts.large ?? 0) + (counts.small ?? 0),
      0,
    );
    expect(total).to.equal(60);
  });

  it('writes no counts or reports into the shared partition', async () => {
    await untilReported();
    await send(nodes, 6);
    await untilReported();
    const shared = ['usage-counts', 'usage-reports'].flatMap((table) =>
      system.store.rows.scan(table, '', '', undefined),
    );
    expect(shared).to.deep.equal([]);
  });

  it('omits requests that a replica did not run', async () => {
    await untilReported();
    const full = await system.addApplication({ slots: 0 });
    await send(nodes, 30);
    await untilReported();
    full.crash();
    const total = system.usage.reports.reduce(
      (sum, { counts }) => sum + (counts.large ?? 0) + (counts.small ?? 0),
      0,
    );
    expect(total).to.equal(30);
  });

  it('continues on another node after the handover guard when the leader is killed', async () => {
    await untilReported();
    await send(nodes, 20);
    const killed = currentLeader();
    await kill(killed);
    await send(
      nodes.filter((node) => node !== killed),
      20,
    );
    await untilReported();
    expectNoGaps();
    expect(reportBreaches(system.usage.reports, HANDOVER_GUARD_MS)).to.deep.equal([]);
    expect(miscountedRequests()).to.be.at.most(EDGE_TOLERANCE);
  });

  it('reports all requests when all nodes are killed in the middle of a window', async () => {
    await untilReported();
    await send(nodes, 20);
    await Promise.all(nodes.map((node) => kill(node)));
    nodes = await Promise.all(nodes.map(({ name }) => system.addNode(name)));
    await Promise.all(nodes.map((node) => system.untilReady(node)));
    await send(nodes, 20);
    await untilReported();
    expectNoGaps();
    expect(reportBreaches(system.usage.reports, HANDOVER_GUARD_MS)).to.deep.equal([]);
    expect(miscountedRequests()).to.be.at.most(EDGE_TOLERANCE);
  });

  it('sends the same report again when the response was lost', async () => {
    await untilReported();
    system.usage.answersToLose = 1;
    const before = system.usage.reports.length;
    await until('a report was sent twice', () => {
      const windows = system.usage.reports.slice(before).map(({ window }) => window);
      return windows.some((window, at) => windows.indexOf(window) !== at);
    });
    expect(reportBreaches(system.usage.reports, HANDOVER_GUARD_MS)).to.deep.equal([]);
  });

  it('waits for the counts of a node that was disconnected from the store for a while', async () => {
    await untilReported();
    const disconnected = nodes.find((node) => node !== currentLeader()) as ServiceNodeProcess;
    disconnected.proxy.set('cut');
    await send([disconnected], 10);
    await until('half of a window has passed', () => Date.now() % WINDOW_MS > WINDOW_MS / 2);
    disconnected.proxy.set('pass');
    await system.untilReady(disconnected);
    await untilReported();
    expectNoGaps();
    expect(miscountedRequests()).to.be.at.most(EDGE_TOLERANCE);
  });

  it('sends no report from a resumed leader within the handover guard of its successor', async () => {
    await untilReported();
    const pausedLeader = currentLeader();
    system.usage.delayMs = 0;
    pausedLeader.child.kill('SIGSTOP');
    const before = system.usage.reports.length;
    await until('another node reports', () =>
      system.usage.reports.slice(before).some((report) => report.holder !== pausedLeader.name),
    );
    pausedLeader.child.kill('SIGCONT');
    await send(nodes, 10);
    await untilReported();
    expectNoGaps();
    expect(reportBreaches(system.usage.reports, HANDOVER_GUARD_MS)).to.deep.equal([]);
    expect(miscountedRequests()).to.be.at.most(EDGE_TOLERANCE);
  });

  it('hands over to another node when the collector does not accept reports', async () => {
    await untilReported();
    const first = currentLeader();
    system.usage.mode = 'busy';
    await until('the lease is released', () =>
      first.log.some(({ context }) => context.duty === 'usage' && context.change === 'resigned'),
    );
    system.usage.mode = 'answering';
    await untilReported();
    expectNoGaps();
    expect(reportBreaches(system.usage.reports, HANDOVER_GUARD_MS)).to.deep.equal([]);
  });
});
