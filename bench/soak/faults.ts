/** The troubles of a soak. Each one is a function that brings trouble for a while and resolves once it is over. */
import type { ReplicaServer } from '../../emulator/replica/replica-server.js';
import { monotonicMs, sleep } from '../../src/common/clock.js';
import type { Random } from '../../src/common/random.js';
import {
  kill,
  LOOKUP_PATH,
  MODEL,
  type ServiceNodeProcess,
  type ServiceSystem,
  usualConfiguration,
} from '../../test/support/service-system.js';
import { bearing, LARGE, SMALL, type TenantRow } from '../../test/support/tenants.js';

/** What troubles act on. */
export interface Stage {
  readonly system: ServiceSystem;
  /** The running process of each node, by name. */
  readonly nodes: Map<string, ServiceNodeProcess>;
  /** Engines that are up. */
  readonly engines: Set<ReplicaServer>;
  /** Applications of all lives. */
  readonly applications: ReplicaServer[];
  readonly addEngine: () => Promise<ReplicaServer>;
  readonly random: Random;
}

/** Brings one trouble; resolves when it is over. */
export type Fault = (stage: Stage, forMs: number) => Promise<void>;

/** Times as long as usual that a slow engine takes for an event, and for a load. */
const SLOW_WORK = 8;
const SLOW_LOAD = 30;
/** Engines whose times are multiplied now. */
const altered = { workMs: new Set<ReplicaServer>(), loadMs: new Set<ReplicaServer>() };

let configurationVersion = 1;
/** Requests with bodies that begin like this end application replicas. */
export const FATAL_PREFIX = 'fatal-';
/** Times as long as other troubles that one of them comes again, and the pause between, milliseconds. */
const FATAL_FACTOR = 4;
const FATAL_PAUSE_MS = 100;
let fatalRequests = 0;

/** Models that the engines serve. */
export const MODELS: readonly string[] = [MODEL, 'model-b'];

/** A key that comes and goes: what a caller that bears it is told depends on the moment. */
export const CHANGING_KEY = 'changing-key';

/** Tenants: with an even version, the large one has the changing key. */
function tenantsOf(version: number): TenantRow[] {
  const apiKeys = version % 2 === 0 ? [...LARGE.apiKeys, CHANGING_KEY] : LARGE.apiKeys;
  return [{ ...LARGE, apiKeys }, SMALL];
}

/** The usual configuration with all models and tenants; the lookups' time-out follows from the version. */
export function soakConfiguration(version: number): object {
  const usual = usualConfiguration(version, {
    lookup: { timeoutMs: 1_500 + version },
    score: { public: true },
  });
  const engine = { slots: 4, models: MODELS.map((name) => ({ name })) };
  const services = usual.services.map((service) => ('engine' in service ? { ...service, engine } : service));
  return { ...usual, services, tenants: tenantsOf(version) };
}

function anyNode({ nodes, random }: Stage): ServiceNodeProcess {
  return random.pick([...nodes.values()]);
}

/** Starts the next process under the name of one that has ended. */
async function restart(stage: Stage, name: string): Promise<void> {
  const next = await stage.system.addNode(name);
  stage.nodes.set(name, next);
}

async function killOne(stage: Stage, forMs: number): Promise<void> {
  const node = anyNode(stage);
  await kill(node);
  await sleep(forMs);
  await restart(stage, node.name);
}

async function killAll(stage: Stage, forMs: number): Promise<void> {
  const all = [...stage.nodes.values()];
  await Promise.all(all.map((node) => kill(node)));
  await sleep(forMs);
  await Promise.all(all.map((node) => restart(stage, node.name)));
}

async function stopOne(stage: Stage): Promise<void> {
  const node = anyNode(stage);
  await kill(node, 'SIGTERM');
  await restart(stage, node.name);
}

async function freezeOne(stage: Stage, forMs: number): Promise<void> {
  const { child } = anyNode(stage);
  child.kill('SIGSTOP');
  await sleep(forMs);
  child.kill('SIGCONT');
}

/** Cuts one node from the store in the way of `mode`. */
const cutFromStore =
  (mode: 'cut' | 'freeze' | 'drop-answers'): Fault =>
  async (stage, forMs) => {
    const { proxy } = anyNode(stage);
    proxy.set(mode);
    await sleep(forMs);
    proxy.set('pass');
  };

const storeIn =
  (mode: 'silent' | 'busy' | 'reset'): Fault =>
  async ({ system }, forMs) => {
    system.store.mode = mode;
    await sleep(forMs);
    system.store.mode = 'answering';
  };

async function slowStore({ system }: Stage, forMs: number): Promise<void> {
  system.store.delayMs = 200;
  await sleep(forMs);
  system.store.delayMs = 0;
}

async function lostAnswers({ system, random }: Stage): Promise<void> {
  system.store.answersToLose = 1 + random.integer(5);
}

async function lateTransactions({ system, random }: Stage, forMs: number): Promise<void> {
  system.store.lateMs = forMs;
  system.store.transactionsToDelay = 1 + random.integer(3);
  await sleep(forMs);
}

async function forgottenHistory({ system }: Stage): Promise<void> {
  system.store.rows.forgetHistory();
}

async function crashEngine(stage: Stage, forMs: number): Promise<void> {
  const engine = stage.random.pick([...stage.engines]);
  stage.engines.delete(engine);
  engine.crash();
  await sleep(forMs);
  engine.withdraw();
  stage.engines.add(await stage.addEngine());
}

async function drainEngine(stage: Stage, forMs: number): Promise<void> {
  const engine = stage.random.pick([...stage.engines]);
  stage.engines.delete(engine);
  stage.engines.add(await stage.addEngine());
  engine.announce('draining');
  await sleep(Math.max(forMs, 2_000));
  engine.withdraw();
  engine.crash();
}

async function silentEngine(stage: Stage, forMs: number): Promise<void> {
  const engine = stage.random.pick([...stage.engines]);
  engine.isSilent = true;
  await sleep(forMs);
  engine.isSilent = false;
}

/** Multiplies a time of one engine for a while; an engine whose time is multiplied already is left alone. */
const slowed =
  (field: 'workMs' | 'loadMs', factor: number): Fault =>
  async ({ engines, random }, forMs) => {
    const engine = random.pick([...engines]);
    if (altered[field].has(engine)) return;
    altered[field].add(engine);
    engine[field] *= factor;
    await sleep(forMs);
    engine[field] /= factor;
    altered[field].delete(engine);
  };

async function brokenStreams({ engines, random }: Stage): Promise<void> {
  random.pick([...engines]).streamsToBreak = 3;
}

async function unframedStreams({ engines, random }: Stage): Promise<void> {
  random.pick([...engines]).unframedStreams = 3;
}

async function surplusAnswers({ applications, random }: Stage): Promise<void> {
  random.pick(applications).surplusAnswers = 2;
}

async function unframedAnswers({ applications, random }: Stage): Promise<void> {
  random.pick(applications).unframedCuts = 2;
}

/** One request, under new identifiers at any node, under which every application replica ends that runs it. */
async function fatalRequest({ system, nodes, random }: Stage, forMs: number): Promise<void> {
  fatalRequests += 1;
  const body = `${FATAL_PREFIX}${fatalRequests}`;
  const endsAtMs = monotonicMs() + FATAL_FACTOR * forMs;
  for (let sends = 1; monotonicMs() < endsAtMs; sends += 1) {
    const { url } = random.pick([...nodes.values()]);
    const id = `${body}-${sends}`;
    await system.lookup({ url }, id, bearing(random.pick(LARGE.apiKeys)), `${LOOKUP_PATH}fatal`, body);
    await sleep(FATAL_PAUSE_MS);
  }
}

async function lateOrders({ engines, random }: Stage, forMs: number): Promise<void> {
  const engine = random.pick([...engines]);
  engine.lateOrderMs = forMs;
  engine.ordersToDelay = 1;
  await sleep(forMs);
}

async function hangUp(stage: Stage): Promise<void> {
  anyNode(stage).child.kill('SIGHUP');
}

async function changeConfiguration({ system }: Stage): Promise<void> {
  configurationVersion += 3;
  system.configure(soakConfiguration(configurationVersion));
}

async function slowUsage({ system }: Stage, forMs: number): Promise<void> {
  system.usage.delayMs = 600;
  await sleep(forMs);
  system.usage.delayMs = 0;
}

async function silentUsage({ system }: Stage, forMs: number): Promise<void> {
  system.usage.mode = 'silent';
  await sleep(forMs);
  system.usage.mode = 'answering';
}

async function lostReports({ system }: Stage): Promise<void> {
  system.usage.answersToLose = 2;
}

/** All troubles, by name. */
export const FAULTS: Readonly<Record<string, Fault>> = {
  'node-kill': killOne,
  'node-kill-all': killAll,
  'node-stop': stopOne,
  'node-freeze': freezeOne,
  'node-cut': cutFromStore('cut'),
  'node-cut-silent': cutFromStore('freeze'),
  'node-answers-dropped': cutFromStore('drop-answers'),
  'node-hang-up': hangUp,
  'store-silent': storeIn('silent'),
  'store-busy': storeIn('busy'),
  'store-reset': storeIn('reset'),
  'store-slow': slowStore,
  'store-answers-lost': lostAnswers,
  'store-transactions-late': lateTransactions,
  'store-history-forgotten': forgottenHistory,
  'engine-crash': crashEngine,
  'engine-drain': drainEngine,
  'engine-silent': silentEngine,
  'engine-slow': slowed('workMs', SLOW_WORK),
  'engine-loads-slow': slowed('loadMs', SLOW_LOAD),
  'engine-streams-broken': brokenStreams,
  'engine-streams-unframed': unframedStreams,
  'application-surplus-answers': surplusAnswers,
  'application-unframed-answers': unframedAnswers,
  'application-fatal-request': fatalRequest,
  'orders-late': lateOrders,
  'configuration-change': changeConfiguration,
  'usage-slow': slowUsage,
  'usage-silent': silentUsage,
  'usage-answers-lost': lostReports,
};

/** Troubles that end or freeze node processes: one at a time, so that a process is not ended twice. */
export const ON_NODES = new Set(['node-kill', 'node-kill-all', 'node-stop', 'node-freeze']);
