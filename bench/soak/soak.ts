/**
 * A randomized soak: real node processes before stand-ins, under load, with troubles of every kind at random moments, up
 * to two at once. At the end the promises are checked on what clients and stand-ins have recorded.
 *
 *   npm run bench -- soak [--seed N] [--minutes M] [--only KIND]
 */
import { parseArgs } from 'node:util';
import { eventData, type ReplicaServer } from '../../emulator/replica/replica-server.js';
import { monotonicMs, sleep } from '../../src/common/clock.js';
import { Random } from '../../src/common/random.js';
import { ServiceSystem } from '../../test/support/service-system.js';
import { begunByWindow, LARGE } from '../../test/support/tenants.js';
import { acceptedJobs, breaches, usageErrors } from './checks.js';
import { FATAL_PREFIX, FAULTS, MODELS, ON_NODES, type Stage, soakConfiguration } from './faults.js';
import { type Load, lookUp, readAgain, trainSteps } from './load.js';
import type { History } from './records.js';

const NODES = 4;
const ENGINES = 4;
const APPLICATIONS = 4;
const EVENTS = 24;
const EVENT_MS = 12;
/** Lease time in the settings of the nodes, milliseconds. */
const LEASE_MS = 1_000;
const SHORTEST_FAULT_MS = 300;
const LONGEST_FAULT_MS = 4_000;
const LONGEST_PAUSE_MS = 1_500;
/** Time until a replica that a request has ended is back, milliseconds. */
const RESTART_MS = 1_500;
/** Streams of troubles that run beside each other. */
const STREAMS = 2;
/** Time without trouble at the end, in which steps must become whole again, milliseconds. */
const CALM_MS = 12_000;
const MS_PER_MINUTE = 60_000;
const STATUS_FAILURE = 500;
/** Length of a window of usage, and when its report is due, milliseconds. */
const WINDOW_MS = 2_000;
const USAGE_DUE_MS = 10_000;

/** What a soak counted. */
export interface Summary {
  readonly seed: number;
  readonly faults: number;
  readonly jobs: number;
  readonly wholeSteps: number;
  readonly results: number;
  readonly lookups: number;
  /** Lookups that failed, were refused for a time, or got no answer. */
  readonly unservedLookups: number;
  /** Windows of usage that were reported, and requests by which the reports are off in all. */
  readonly windows: number;
  readonly usageErrors: number;
  /** Replicas that ended under requests. */
  readonly fatalEnds: number;
  readonly violations: number;
}

/** Runs a soak; resolves to its summary and the breaches found. */
export async function soak(
  seed: number,
  minutes: number,
  only?: string,
): Promise<{ summary: Summary; found: string[] }> {
  const system = await ServiceSystem.start();
  try {
    return await play(system, seed, minutes, only);
  } finally {
    await system.stop();
  }
}

async function play(system: ServiceSystem, seed: number, minutes: number, only: string | undefined) {
  const stage = await prepare(system, seed);
  const history: History = { jobs: [], lookups: [], faults: [], fatalEnds: [] };
  for (const application of [...stage.applications]) restartAfterFatal(stage, application, history);
  const stop = new AbortController();
  const load: Load = {
    system,
    trainer: system.trainer,
    nodes: () => [...stage.nodes.values()].map((node) => node.url),
    history,
    random: new Random(seed + 1),
    signal: stop.signal,
  };
  const trainers = MODELS.map((model) => trainSteps(load, model));
  const callers = ['caller-a', 'caller-b'].map((caller) => lookUp(load, caller));
  const endsAtMs = monotonicMs() + minutes * MS_PER_MINUTE;
  const kinds = Object.keys(FAULTS).filter((kind) => !only || kind === only);
  const streams = Array.from({ length: STREAMS }, (_, at) =>
    trouble(stage, history, kinds, at === 0, endsAtMs),
  );
  await Promise.all(streams);
  const calmFromMs = monotonicMs();
  await sleep(CALM_MS);
  stop.abort();
  const [wholeSteps] = await Promise.all([Promise.all(trainers), ...callers]);
  const accepted = acceptedJobs(history);
  const unreadable = await readAgain(load, accepted);
  const found = [
    ...unreadable,
    ...breaches(history, evidenceOf(system)),
    ...recoveryBreaches(history, calmFromMs),
  ];
  const summary: Summary = {
    seed,
    faults: history.faults.length,
    jobs: accepted.length,
    wholeSteps: wholeSteps.reduce((sum, count) => sum + count, 0),
    results: accepted.reduce((sum, { positions }) => sum + positions.size, 0),
    lookups: history.lookups.length,
    unservedLookups: history.lookups.filter(({ status }) => status === 0 || status >= STATUS_FAILURE).length,
    windows: new Set(system.usage.reports.map(({ window }) => window)).size,
    usageErrors: usageErrors(system.usage.reports, begunByWindow(stage.applications, WINDOW_MS)),
    fatalEnds: history.fatalEnds.length,
    violations: found.length,
  };
  return { summary, found };
}

async function prepare(system: ServiceSystem, seed: number): Promise<Stage> {
  await system.reportUsage(WINDOW_MS, USAGE_DUE_MS);
  system.configure(soakConfiguration(1));
  system.trainer.key = LARGE.apiKeys[0];
  const models = Object.fromEntries(MODELS.map((model) => [model, 1]));
  const addEngine = () => system.addEngine({ models, events: EVENTS, workMs: EVENT_MS });
  const engines = await Promise.all(Array.from({ length: ENGINES }, addEngine));
  const applications = await Promise.all(Array.from({ length: APPLICATIONS }, () => system.addApplication()));
  const names = Array.from({ length: NODES }, (_, at) => `node-${at + 1}`);
  const nodes = await Promise.all(names.map((name) => system.addNode(name)));
  await Promise.all(nodes.map((node) => system.untilReady(node)));
  return {
    system,
    nodes: new Map(nodes.map((node) => [node.name, node])),
    engines: new Set(engines),
    applications,
    addEngine,
    random: new Random(seed),
  };
}

/** A replica that a request has ended starts again at its address; the end is noted. */
function restartAfterFatal(stage: Stage, replica: ReplicaServer, history: History): void {
  replica.fatalPrefix = FATAL_PREFIX;
  replica.onFatal = async (body) => {
    history.fatalEnds.push({ body, atMs: monotonicMs() });
    await sleep(RESTART_MS);
    const next = await stage.system.restartReplica(replica);
    stage.applications.push(next);
    restartAfterFatal(stage, next, history);
  };
}

/** One trouble after the other until the time is over. Only one stream ends or freezes processes. */
async function trouble(
  stage: Stage,
  history: History,
  kinds: readonly string[],
  mayEndNodes: boolean,
  endsAtMs: number,
): Promise<void> {
  const own = kinds.filter((kind) => mayEndNodes || !ON_NODES.has(kind));
  while (own.length > 0 && monotonicMs() < endsAtMs) {
    await sleep(stage.random.integer(LONGEST_PAUSE_MS));
    const kind = stage.random.pick(own);
    const forMs = SHORTEST_FAULT_MS + stage.random.integer(LONGEST_FAULT_MS - SHORTEST_FAULT_MS);
    const fromMs = monotonicMs();
    await FAULTS[kind]?.(stage, forMs);
    history.faults.push({ kind, fromMs, untilMs: monotonicMs() });
  }
}

function evidenceOf(system: ServiceSystem) {
  return {
    received: system.replicas.flatMap((replica) => replica.received),
    orders: system.replicas.map((replica) => replica.orders),
    reports: system.usage.reports,
    wholeText: (itemId: string) =>
      Array.from({ length: EVENTS }, (_, at) => eventData(itemId, at + 1)).join('\n'),
    apartMs: LEASE_MS,
  };
}

/** Without trouble every model has a job that is accepted and ended with results. */
function recoveryBreaches(history: History, calmFromMs: number): string[] {
  return MODELS.filter(
    (model) =>
      !history.jobs.some(
        ({ job, endedAtMs, positions }) =>
          job.model === model && positions.size > 0 && (endedAtMs ?? 0) > calmFromMs,
      ),
  ).map((model) => `${model}: no step became whole after the last trouble`);
}

/** Reads the arguments and runs; resolves to the number of breaches. */
export async function runSoak(args: readonly string[]): Promise<number> {
  const { values } = parseArgs({
    args: [...args],
    options: {
      seed: { type: 'string', default: '1' },
      minutes: { type: 'string', default: '2' },
      only: { type: 'string' },
    },
  });
  const { summary, found } = await soak(Number(values.seed), Number(values.minutes), values.only);
  for (const line of found) process.stdout.write(`${line}\n`);
  process.stdout.write(`${JSON.stringify(summary)}\n`);
  return found.length;
}
