/**
 * One batch job on two serving nodes in this process, from its submission to its last result: the stand-ins
 * of the platform's store, of three model engines and of an application that scores.
 */

import { Ingress } from '../platform/ingress.js';
import { OPERATOR_KEY, TABLE } from '../platform/names.js';
import { createServiceNode } from '../platform/service-node-factory.js';
import { sleep } from '../src/common/clock.js';
import { silentDecisionLogger } from '../src/common/decision-logger.js';
import { ServiceMetrics } from '../src/common/service-metrics.js';
import type { ServiceNode } from '../src/node/service/service-node.js';
import type { ServiceSettings } from '../src/protocol/service/service-settings.js';
import { HttpServer, sendJson } from '../src/transport/http-server.js';
import { JobTrainer, type TrainerJob } from './clients/job-trainer.js';
import { ReplicaServer } from './replica/replica-server.js';
import { StoreServer } from './store/store-server.js';

const LOOPBACK = '127.0.0.1';
const ROUTE_HOST = 'demo.example';
const MODEL = 'assistant';
const ENGINES = 3;
const POLL_MS = 20;
const JOB: TrainerJob = {
  id: 'demo-job',
  host: ROUTE_HOST,
  path: '/jobs/',
  model: MODEL,
  minVersion: 1,
  groups: 6,
  groupSize: 4,
  scoringPath: '/score/x',
};

/** What the reader counted. */
export interface JobDemoOutcome {
  readonly results: number;
  /** Results with a whole text and a score. */
  readonly whole: number;
  /** Positions at which the two nodes gave different results. */
  readonly different: number;
}

interface DemoNode {
  readonly node: ServiceNode;
  readonly server: HttpServer;
  readonly url: string;
}

function settingsOf(nodeName: string, storeAddress: string): ServiceSettings {
  const listen = { host: LOOPBACK, port: 0 };
  return {
    nodeName,
    zone: 'zone-a',
    zoneRegions: new Map([['zone-a', 'region-a']]),
    ingress: listen,
    readiness: listen,
    storeAddress,
    recordBytes: 65_536,
    objectBytes: 8_388_608,
    stopGraceMs: 8_000,
    peerPort: 0,
    usage: undefined,
    configurationBoundMs: 3_000,
    jobEndBoundMs: 3_000,
    leaseMs: 3_000,
    replicaHeartbeatMs: 1_200,
    resultRetentionMs: 120_000,
    processorCores: 1,
    memoryBytes: 256 * 1024 * 1024,
    maxDescriptors: 4_096,
  };
}

async function startNode(name: string, storeAddress: string): Promise<DemoNode> {
  const metrics = new ServiceMetrics();
  const settings = settingsOf(name, storeAddress);
  const node = createServiceNode(() => settings, metrics, silentDecisionLogger);
  const ingress = new Ingress(node, metrics, silentDecisionLogger);
  const server = new HttpServer({
    notFound: (request, response) => ingress.handle(request, response),
    failed: (cause, _request, response) => sendJson(response, 500, { error: String(cause) }),
  });
  const port = await server.listen(LOOPBACK, 0);
  node.start(`${LOOPBACK}:${port}`);
  return { node, server, url: `http://${LOOPBACK}:${port}` };
}

function configuration() {
  const route = (name: string, pathPrefix: string, kind: string, service: string) => ({
    name,
    host: ROUTE_HOST,
    pathPrefix,
    kind,
    service,
    timeoutMs: 2_000,
    targetLatencyMs: 400,
    maxAttempts: 3,
  });
  return {
    version: 1,
    routes: [route('jobs', '/jobs/', 'rollout', 'engines'), route('score', '/score/', 'safe', 'application')],
    services: [
      { name: 'engines', maxConns: 100, engine: { slots: 4, models: [{ name: MODEL }] } },
      { name: 'application', maxConns: 100 },
    ],
  };
}

/** Runs the job and reads it at both nodes. */
export async function runJobDemo(): Promise<JobDemoOutcome> {
  const store = new StoreServer();
  const storeAddress = await store.start();
  store.rows.put(TABLE.operator, OPERATOR_KEY.configuration, configuration());
  const engine = { service: 'engines', models: { [MODEL]: 1 }, events: 12 };
  const replicas = await Promise.all([
    ...Array.from({ length: ENGINES }, () => new ReplicaServer(store.rows, engine).start()),
    new ReplicaServer(store.rows, { service: 'application', slots: 16 }).start(),
  ]);
  const nodes = [await startNode('node-a', storeAddress), await startNode('node-b', storeAddress)];
  while (!nodes.every(({ node }) => node.isReady)) await sleep(POLL_MS);
  const outcome = await runJob(nodes.map(({ url }) => url));
  for (const { node, server } of nodes) {
    node.stopNow();
    server.destroy();
  }
  for (const replica of replicas) replica.crash();
  store.stop();
  return outcome;
}

async function runJob(urls: readonly string[]): Promise<JobDemoOutcome> {
  const trainer = new JobTrainer(ROUTE_HOST);
  const [first = '', second = ''] = urls;
  await trainer.submit(first, JOB);
  const total = JOB.groups * JOB.groupSize;
  const [atFirst, atSecond] = [
    await trainer.readAll([first], JOB.id, total),
    await trainer.readAll([second], JOB.id, total),
  ];
  await trainer.end(second, JOB.id);
  await trainer.close();
  const whole = atFirst.filter((result) => result.state === 'completed' && result.score !== undefined).length;
  const different = atFirst.filter(
    (result, index) => JSON.stringify(result) !== JSON.stringify(atSecond[index]),
  );
  return { results: atFirst.length, whole, different: different.length };
}
