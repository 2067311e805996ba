/** The troubles of a soak. Each one is a function that brings trouble for a while and resolves once it is over. */
import type { ReplicaServer } from '../../emulator/replica/replica-server.js';
import { TABLE } from '../../platform/names.js';
import { monotonicMs, sleep } from '../../src/common/clock.js';
import type { Random } from '../../src/common/random.js';
import {
  kill,
  LOOKUP_PATH,
  type ServiceNodeProcess,
  type ServiceSystem,
} from '../../test/support/service-system.js';
import { bearing, LARGE } from '../../test/support/tenants.js';
import type { ConfigurationSeries } from './configuration-series.js';

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
  /** Settings of every node. */
  readonly settingsOf: (name: string) => Readonly<Record<string, string>>;
  readonly configurations: ConfigurationSeries;
  /** Time of an answer of the store without trouble, milliseconds. */
  readonly storeAnswerMs: number;
  readonly random: Random;
  /** Sends so many lookups at once. */
  sendCrowd: (count: number) => Promise<void>;
  /** Names of the nodes that the trouble under way strikes. */
  readonly struck: Set<string>;
}

/** Brings one trouble; resolves when it is over. */
export type Fault = (stage: Stage, forMs: number) => Promise<void>;

/** Times as long as usual that a slow engine takes for an event, and for a load. */
const SLOW_WORK = 8;
const SLOW_LOAD = 30;
/** Times as long as usual that applications take at most while they are uneven, and lookups of a crowd at least. */
const SLOW_APPLICATION = 20;
const CROWD = 60;
/** Replicas whose times are multiplied now. */
const altered = { workMs: new Set<ReplicaServer>(), loadMs: new Set<ReplicaServer>() };

/** Replicas that are starting again now. */
const restarting = new Set<ReplicaServer>();
/** How often it is looked whether an engine loads, and how long strange records stay, milliseconds. */
const LOADING_POLL_MS = 20;
const STRANGE_MS = 1_000;

/** Requests with bodies that begin like this end application replicas. */
export const FATAL_PREFIX = 'fatal-';
/** Times as long as other troubles that one of them comes again, and the pause between, milliseconds. */
const FATAL_FACTOR = 4;
const FATAL_PAUSE_MS = 100;
let fatalRequests = 0;

/** Reads that are behind are so by up to this much, milliseconds. */
const LONGEST_BEHIND_MS = 6_000;
/** Changes a second of a quick series. */
const CHANGES_PER_SECOND = 12;
/** Part of the nodes that are stopped at once while all are stopped and started in turn. */
const ROLLED_PART = 0.1;
/** Part of the nodes that the store turns away. */
const TURNED_AWAY_PART = 0.35;
const MS_PER_SECOND = 1_000;

function anyNode({ nodes, random, struck }: Stage): ServiceNodeProcess {
  const node = random.pick([...nodes.values()]);
  struck.add(node.name);
  return node;
}

/** A part of the nodes, at least one. */
function someNodes({ nodes, random, struck }: Stage, part: number): ServiceNodeProcess[] {
  const all = [...nodes.values()];
  const first = random.integer(all.length);
  const count = Math.max(1, Math.round(all.length * part));
  const some = Array.from({ length: count }, (_, at) => all[(first + at) % all.length] as ServiceNodeProcess);
  for (const { name } of some) struck.add(name);
  return some;
}

/** Starts the next process under the name of one that has ended. */
async function restart(stage: Stage, name: string): Promise<void> {
  const next = await stage.system.addNode(name, stage.settingsOf(name));
  stage.nodes.set(name, next);
}

async function killOne(stage: Stage, forMs: number): Promise<void> {
  const node = anyNode(stage);
  await kill(node);
  await sleep(forMs);
  await restart(stage, node.name);
}

async function killAll(stage: Stage, forMs: number): Promise<void> {
  const all = someNodes(stage, 1);
  await Promise.all(all.map((node) => kill(node)));
  await sleep(forMs);
  await Promise.all(all.map((node) => restart(stage, node.name)));
}

async function stopOne(stage: Stage): Promise<void> {
  const node = anyNode(stage);
  await kill(node, 'SIGTERM');
  await restart(stage, node.name);
}

/** Stops and starts the nodes in turn, some at a time, for as long as the trouble lasts. */
async function rollNodes(stage: Stage, forMs: number): Promise<void> {
  const endsAtMs = monotonicMs() + forMs;
  do {
    const some = someNodes(stage, ROLLED_PART);
    await Promise.all(some.map((node) => kill(node, 'SIGTERM')));
    await Promise.all(some.map((node) => restart(stage, node.name)));
  } while (monotonicMs() < endsAtMs);
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

/** The store turns a part of the nodes away and serves the others. */
async function turnedAway(stage: Stage, forMs: number): Promise<void> {
  const some = someNodes(stage, TURNED_AWAY_PART);
  for (const { proxy } of some) proxy.set('cut');
  await sleep(forMs);
  for (const { proxy } of some) proxy.set('pass');
}

const storeIn =
  (mode: 'silent' | 'busy' | 'reset'): Fault =>
  async ({ system }, forMs) => {
    system.store.mode = mode;
    await sleep(forMs);
    system.store.mode = 'answering';
  };

async function slowStore({ system, storeAnswerMs }: Stage, forMs: number): Promise<void> {
  system.store.delayMs = 200;
  await sleep(forMs);
  system.store.delayMs = storeAnswerMs;
}

async function lostAnswers({ system, random }: Stage): Promise<void> {
  system.store.answersToLose = 1 + random.integer(5);
}

async function lateTransactions({ system, random }: Stage, forMs: number): Promise<void> {
  system.store.lateMs = forMs;
  system.store.transactionsToDelay = 1 + random.integer(3);
  await sleep(forMs);
}

async function forgottenHistory({ system, configurations }: Stage): Promise<void> {
  configurations.change();
  system.store.rows.forgetHistory();
}

/** The history is lost right after a change, and reads of ranges are old for a while. */
async function oldReads(stage: Stage, forMs: number): Promise<void> {
  const { system, configurations, random } = stage;
  system.store.readsBehindMs = 1 + random.integer(LONGEST_BEHIND_MS);
  configurations.change();
  system.store.rows.forgetHistory();
  await sleep(forMs);
  configurations.change();
  await sleep(forMs);
  system.store.readsBehindMs = 0;
}

async function silentOperatorTable({ system, configurations }: Stage, forMs: number): Promise<void> {
  system.store.silentTable = TABLE.operator;
  configurations.change();
  await sleep(forMs);
  system.store.silentTable = undefined;
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

/** Time for which a replica that starts again is down at most, and steps of its time of day, milliseconds. */
const LONGEST_DOWN_MS = 600;
const CLOCK_STEPS_MS = [0, 0, 0, 2_000, -2_000];
/** Times that one replica starts again in a row at most. */
const LONGEST_SERIES = 3;

/** Replicas start again under their ids, one a few times in a row; connections of before break or stay silent. */
const startedAgain =
  (pick: (stage: Stage) => ReplicaServer | undefined): Fault =>
  async (stage, forMs) => {
    const { random } = stage;
    const replica = pick(stage);
    if (!replica || restarting.has(replica)) return;
    restarting.add(replica);
    const lives = 1 + random.integer(LONGEST_SERIES);
    for (let life = 0; life < lives; life += 1) {
      const downMs = random.integer(LONGEST_DOWN_MS);
      const clockStepMs = random.pick(CLOCK_STEPS_MS);
      await replica.startAgain({ downMs, clockStepMs, isDark: random.integer(2) === 0 });
      await sleep(forMs / lives);
    }
    restarting.delete(replica);
  };

/** An engine starts again while it loads or is about to. */
async function startedAgainWhileLoading(stage: Stage, forMs: number): Promise<void> {
  const untilMs = monotonicMs() + forMs;
  const loading = () => [...stage.engines].find((engine) => engine.isBusy);
  while (!loading() && monotonicMs() < untilMs) await sleep(LOADING_POLL_MS);
  const engine = loading();
  if (engine) await startedAgain(() => engine)(stage, 0);
}

/** A replica that drains starts again, says so, and drains on. */
async function startedAgainWhileDraining(stage: Stage, forMs: number): Promise<void> {
  const engine = stage.random.pick([...stage.engines]);
  if (restarting.has(engine)) return;
  stage.engines.delete(engine);
  stage.engines.add(await stage.addEngine());
  engine.announce('draining');
  await sleep(forMs / 2);
  await engine.startAgain();
  engine.announce('draining');
  await sleep(Math.max(forMs, 2_000));
  engine.withdraw();
  engine.crash();
}

/** Another writer leaves records in the table of replicas, one in the place of an engine's. */
async function strangeRecords({ system, engines, random }: Stage, forMs: number): Promise<void> {
  const engine = random.pick([...engines]);
  const { rows } = system.store;
  const row = engine.row();
  rows.put(TABLE.replicas, 'strange-1', { ...row, state: 'broken' });
  rows.put(TABLE.replicas, 'strange-2', { ...row, addr: 'nowhere', slots: 1e300 });
  rows.put(TABLE.replicas, engine.id, { ...row, slots: -1 });
  await sleep(Math.min(forMs, STRANGE_MS));
  for (const key of ['strange-1', 'strange-2']) rows.remove(TABLE.replicas, key);
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

/** Applications turn slow, each by a factor of its own. */
async function unevenApplications({ applications, random }: Stage, forMs: number): Promise<void> {
  const some = applications.filter((one) => one.isUp && !altered.workMs.has(one));
  const factors = some.map(() => 1 + random.integer(SLOW_APPLICATION));
  for (const [at, one] of some.entries()) {
    altered.workMs.add(one);
    one.workMs *= factors[at] ?? 1;
  }
  await sleep(forMs);
  for (const [at, one] of some.entries()) {
    one.workMs /= factors[at] ?? 1;
    altered.workMs.delete(one);
  }
}

/** Callers come together, several times as many as all applications run at once. */
async function crowd({ sendCrowd, random }: Stage, forMs: number): Promise<void> {
  const endsAtMs = monotonicMs() + forMs;
  do await sendCrowd(CROWD + random.integer(CROWD));
  while (monotonicMs() < endsAtMs);
}

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

async function hangAllUp({ nodes, configurations }: Stage): Promise<void> {
  for (const { child } of nodes.values()) child.kill('SIGHUP');
  configurations.change();
}

async function changeConfiguration({ configurations }: Stage): Promise<void> {
  configurations.change();
}

async function changeConfigurationOften({ configurations }: Stage, forMs: number): Promise<void> {
  const endsAtMs = monotonicMs() + forMs;
  while (monotonicMs() < endsAtMs) {
    configurations.change();
    await sleep(MS_PER_SECOND / CHANGES_PER_SECOND);
  }
}

async function largeConfiguration({ configurations }: Stage): Promise<void> {
  configurations.change(true);
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
  'node-roll': rollNodes,
  'node-freeze': freezeOne,
  'node-cut': cutFromStore('cut'),
  'node-cut-silent': cutFromStore('freeze'),
  'node-answers-dropped': cutFromStore('drop-answers'),
  'node-hang-up': hangUp,
  'node-hang-up-all': hangAllUp,
  'nodes-turned-away': turnedAway,
  'store-silent': storeIn('silent'),
  'store-busy': storeIn('busy'),
  'store-reset': storeIn('reset'),
  'store-slow': slowStore,
  'store-answers-lost': lostAnswers,
  'store-transactions-late': lateTransactions,
  'store-history-forgotten': forgottenHistory,
  'store-reads-old': oldReads,
  'store-operator-table-silent': silentOperatorTable,
  'engine-crash': crashEngine,
  'engine-drain': drainEngine,
  'engine-restart': startedAgain(({ engines, random }) => random.pick([...engines])),
  'engine-restart-loading': startedAgainWhileLoading,
  'engine-restart-draining': startedAgainWhileDraining,
  'application-restart': startedAgain(({ applications, random }) =>
    random.pick(applications.filter((one) => one.isUp)),
  ),
  'records-strange': strangeRecords,
  'engine-silent': silentEngine,
  'engine-slow': slowed('workMs', SLOW_WORK),
  'engine-loads-slow': slowed('loadMs', SLOW_LOAD),
  'engine-streams-broken': brokenStreams,
  'engine-streams-unframed': unframedStreams,
  'application-surplus-answers': surplusAnswers,
  'application-unframed-answers': unframedAnswers,
  'application-fatal-request': fatalRequest,
  'applications-uneven': unevenApplications,
  'callers-crowd': crowd,
  'orders-late': lateOrders,
  'configuration-change': changeConfiguration,
  'configuration-changes-often': changeConfigurationOften,
  'configuration-large': largeConfiguration,
  'usage-slow': slowUsage,
  'usage-silent': silentUsage,
  'usage-answers-lost': lostReports,
};

/** Troubles that end or freeze node processes: one at a time, so that a process is not ended twice. */
export const ON_NODES = new Set(['node-kill', 'node-kill-all', 'node-stop', 'node-roll', 'node-freeze']);
