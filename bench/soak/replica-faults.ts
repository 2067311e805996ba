/** Faults of engines and applications, of their announcements, and of what callers send them. */
import { ENDLESS_FAILURES } from '../../emulator/replica/endless-answers.js';
import type { ReplicaServer } from '../../emulator/replica/replica-server.js';
import { TABLE } from '../../platform/names.js';
import { monotonicMs, sleep } from '../../src/common/clock.js';
import { LOOKUP_PATH } from '../../test/support/service-system.js';
import { bearing, LARGE } from '../../test/support/tenants.js';
import { type Fault, lasting, type Stage } from './stage.js';

/** Largest factor by which an application turns slow, and least number of lookups in a crowd. */
const SLOW_APPLICATION = 20;
const CROWD = 60;
/** Replicas whose times are multiplied now. */
const altered = { workMs: new Set<ReplicaServer>(), loadMs: new Set<ReplicaServer>() };
/** Replicas that are restarting now. */
const restarting = new Set<ReplicaServer>();
/**
 * How often an engine is checked for a load, how long malformed records stay, least time of a drain,
 * milliseconds.
 */
const LOADING_POLL_MS = 20;
const MALFORMED_MS = 1_000;
const LEAST_DRAIN_MS = 2_000;
/** Longest time for which a restarting replica is down, and steps of its time of day, milliseconds. */
const LONGEST_DOWN_MS = 600;
const CLOCK_STEPS_MS = [0, 0, 0, 2_000, -2_000];
/** Times between the pieces of bytes without end, milliseconds; 0: at full speed. */
const ENDLESS_PACES_MS = [0, 50];
/** Most restarts of one replica in a row. */
const LONGEST_SERIES = 3;

/** Requests with bodies that begin like this crash application replicas. */
export const FATAL_PREFIX = 'fatal-';
/** Factor by which their fault lasts longer than others, and pause between them, milliseconds. */
const FATAL_FACTOR = 4;
const FATAL_PAUSE_MS = 100;
let fatalRequests = 0;

function anyEngine({ engines, random }: Stage): ReplicaServer {
  return random.pick([...engines]);
}

/** Engine at random that leaves the stage. */
function removeEngine(stage: Stage): ReplicaServer {
  const engine = anyEngine(stage);
  stage.engines.delete(engine);
  return engine;
}

async function replaceEngine(stage: Stage): Promise<void> {
  stage.engines.add(await stage.addEngine());
}

/** Announces that an engine drains, and ends it later. */
async function drain(engine: ReplicaServer, forMs: number): Promise<void> {
  engine.announce('draining');
  await sleep(Math.max(forMs, LEAST_DRAIN_MS));
  engine.withdraw();
  engine.crash();
}

export async function crashEngine(stage: Stage, forMs: number): Promise<void> {
  const engine = removeEngine(stage);
  engine.crash();
  await sleep(forMs);
  engine.withdraw();
  await replaceEngine(stage);
}

export async function drainEngine(stage: Stage, forMs: number): Promise<void> {
  const engine = removeEngine(stage);
  await replaceEngine(stage);
  await drain(engine, forMs);
}

/** A replica restarts under its id, a few times in a row; connections of before break or stay silent. */
const restarted =
  (pick: (stage: Stage) => ReplicaServer | undefined): Fault =>
  async (stage, forMs) => {
    const { random } = stage;
    const replica = pick(stage);
    if (!replica || restarting.has(replica)) return;
    restarting.add(replica);
    const restarts = 1 + random.integer(LONGEST_SERIES);
    for (let done = 0; done < restarts; done += 1) {
      const downMs = random.integer(LONGEST_DOWN_MS);
      const clockStepMs = random.pick(CLOCK_STEPS_MS);
      await replica.startAgain({ downMs, clockStepMs, isDark: random.integer(2) === 0 });
      await sleep(forMs / restarts);
    }
    restarting.delete(replica);
  };

export const engineRestarted = restarted(anyEngine);
export const applicationRestarted = restarted(({ applications, random }) =>
  random.pick(applications.filter((one) => one.isUp)),
);

/** An engine restarts while it loads or is about to. */
export async function engineRestartedWhileLoading(stage: Stage, forMs: number): Promise<void> {
  const untilMs = monotonicMs() + forMs;
  const loading = () => [...stage.engines].find((engine) => engine.isBusy);
  while (!loading() && monotonicMs() < untilMs) await sleep(LOADING_POLL_MS);
  const engine = loading();
  if (engine) await restarted(() => engine)(stage, 0);
}

/** A draining replica restarts, announces itself, and drains on. */
export async function engineRestartedWhileDraining(stage: Stage, forMs: number): Promise<void> {
  const engine = anyEngine(stage);
  if (restarting.has(engine)) return;
  stage.engines.delete(engine);
  await replaceEngine(stage);
  engine.announce('draining');
  await sleep(forMs / 2);
  await engine.startAgain();
  await drain(engine, forMs);
}

/** Another writer leaves malformed records in the table of replicas, one over an engine's. */
export async function malformedRecords(stage: Stage, forMs: number): Promise<void> {
  const engine = anyEngine(stage);
  const { rows } = stage.system.store;
  const row = engine.row();
  rows.put(TABLE.replicas, 'strange-1', { ...row, state: 'broken' });
  rows.put(TABLE.replicas, 'strange-2', { ...row, addr: 'nowhere', slots: 1e300 });
  rows.put(TABLE.replicas, engine.id, { ...row, slots: -1 });
  await sleep(Math.min(forMs, MALFORMED_MS));
  for (const key of ['strange-1', 'strange-2']) rows.remove(TABLE.replicas, key);
}

export const silentEngine = lasting((stage) => {
  const engine = anyEngine(stage);
  engine.isSilent = true;
  return () => {
    engine.isSilent = false;
  };
});

/** One replica answers every call with bytes without end, at full speed or piece by piece. */
export const endless = (from: 'engines' | 'applications'): Fault =>
  lasting((stage) => {
    const { random } = stage;
    const replica = random.pick([...stage[from]]);
    replica.endless = random.pick(ENDLESS_FAILURES);
    replica.endlessPaceMs = random.pick(ENDLESS_PACES_MS);
    return () => {
      replica.endless = undefined;
    };
  });

/** Multiplies a time of one engine for a while, unless it is multiplied already. */
export const slowed =
  (field: 'workMs' | 'loadMs', factor: number): Fault =>
  async (stage, forMs) => {
    const engine = anyEngine(stage);
    if (altered[field].has(engine)) return;
    altered[field].add(engine);
    engine[field] *= factor;
    await sleep(forMs);
    engine[field] /= factor;
    altered[field].delete(engine);
  };

/** Applications turn slow, each by a factor of its own. */
export const unevenApplications = lasting(({ applications, random }) => {
  const some = applications
    .filter((one) => one.isUp && !altered.workMs.has(one))
    .map((one) => ({ one, factor: 1 + random.integer(SLOW_APPLICATION) }));
  for (const { one, factor } of some) {
    altered.workMs.add(one);
    one.workMs *= factor;
  }
  return () => {
    for (const { one, factor } of some) {
      one.workMs /= factor;
      altered.workMs.delete(one);
    }
  };
});

/** A crowd of callers, several times as many as all applications have slots. */
export async function crowd({ sendCrowd, random }: Stage, forMs: number): Promise<void> {
  const endsAtMs = monotonicMs() + forMs;
  do await sendCrowd(CROWD + random.integer(CROWD));
  while (monotonicMs() < endsAtMs);
}

/** The next `count` streams or answers of one replica have a fault. */
export const counted =
  (
    from: 'engines' | 'applications',
    field: 'streamsToBreak' | 'unframedStreams' | 'surplusAnswers' | 'unframedCuts',
    count: number,
  ): Fault =>
  async (stage) => {
    stage.random.pick([...stage[from]])[field] = count;
  };

/**
 * One request, repeated under new identifiers at any node, that crashes every application replica that runs
 * it.
 */
export async function fatalRequest({ system, nodes, random }: Stage, forMs: number): Promise<void> {
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

export async function lateLoadCommands(stage: Stage, forMs: number): Promise<void> {
  const engine = anyEngine(stage);
  engine.lateOrderMs = forMs;
  engine.ordersToDelay = 1;
  await sleep(forMs);
}
