/**
 * A randomized soak: real node processes before stand-ins, under load, with troubles of every kind at random moments, up
 * to two at once. At the end the promises are checked on what clients and stand-ins have recorded.
 *
 *   npm run bench -- soak [--seed N] [--minutes M] [--only KIND,...] [--shape small|fleet] [--logs FOLDER]
 */
import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { monitorEventLoopDelay } from 'node:perf_hooks';
import { parseArgs } from 'node:util';
import { eventData, type ReplicaServer } from '../../emulator/replica/replica-server.js';
import { monotonicMs, sleep } from '../../src/common/clock.js';
import { Random } from '../../src/common/random.js';
import { type ServiceNodeProcess, ServiceSystem } from '../../test/support/service-system.js';
import { begunByWindow, LARGE } from '../../test/support/tenants.js';
import { acceptedJobs, breaches, usageErrors } from './checks.js';
import { configurationBreaches, probeNodes } from './configuration-probes.js';
import { ConfigurationSeries, MODELS, SECOND_SERVICE } from './configuration-series.js';
import { FATAL_PREFIX, FAULTS, ON_NODES, type Stage } from './faults.js';
import { type Load, lookUp, lookUpAtOnce, readAgain, trainSteps } from './load.js';
import type { History } from './records.js';
import { SHAPES, type Shape } from './shape.js';

/** Replicas of the service to which a route moves now and then. */
const SECOND_APPLICATIONS = 2;
/** Processes that start at the same time. */
const STARTING = 12;
/** How often each replica writes its row, milliseconds. */
const BEAT_MS = 1_200;
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
const NANOSECONDS_PER_MS = 1e6;
const SMALL = SHAPES.small as Shape;
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
  /** Configurations that were written, requests that asked which is in force, and those that were answered with 200 or 404. */
  readonly configurations: number;
  readonly probes: number;
  readonly tellingProbes: number;
  /** Calls that the store refused because of its rates. */
  readonly limitedCalls: number;
  /** Longest time for which this process, with the stand-ins in it, answered nobody, milliseconds. */
  readonly longestStandstillMs: number;
  readonly violations: number;
}

/** What is played. */
export interface SoakOptions {
  readonly seed: number;
  readonly minutes: number;
  /** Troubles, by name. Default: all. */
  readonly only?: readonly string[];
  /** Default: the small one. */
  readonly shape?: Shape;
  /** Where the nodes' lines are kept when something is found. Default: nowhere. */
  readonly logFolder?: string;
}

/** Runs a soak; resolves to its summary and the breaches found. */
export async function soak(options: SoakOptions): Promise<{ summary: Summary; found: string[] }> {
  const system = await ServiceSystem.start();
  try {
    const { summary, found, history, written } = await play(system, options);
    if (options.logFolder && found.length > 0)
      keepLogs(system, options.logFolder, { found, history, written });
    return { summary, found };
  } finally {
    await system.stop();
  }
}

/** Writes what the soak remembers, and the lines of each process into a file of its own. */
function keepLogs(system: ServiceSystem, folder: string, remembered: object): void {
  mkdirSync(folder, { recursive: true });
  writeFileSync(
    join(folder, 'history.json'),
    JSON.stringify({ startedAtMs: performance.timeOrigin, ...remembered }),
  );
  for (const { name, child, log } of system.nodes)
    writeFileSync(
      join(folder, `${name}-${child.pid}.jsonl`),
      log.map((line) => `${JSON.stringify(line)}\n`).join(''),
    );
}

async function play(system: ServiceSystem, { seed, minutes, only, shape = SMALL }: SoakOptions) {
  const stage = await prepare(system, seed, shape);
  const history: History = { jobs: [], lookups: [], faults: [], fatalEnds: [], probes: [] };
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
  stage.sendCrowd = (count) => lookUpAtOnce(load, count);
  const beats = setInterval(() => beat(stage), BEAT_MS);
  const delays = monitorEventLoopDelay();
  delays.enable();
  const probing = probeNodes({
    system,
    series: stage.configurations,
    nodes: () => [...stage.nodes.values()],
    probes: history.probes,
    perSecond: shape.probesPerSecond,
    signal: stop.signal,
  });
  const trainers = MODELS.map((model) => trainSteps(load, model));
  const callers = ['caller-a', 'caller-b'].map((caller) => lookUp(load, caller));
  const endsAtMs = monotonicMs() + minutes * MS_PER_MINUTE;
  const kinds = Object.keys(FAULTS).filter((kind) => !only || only.includes(kind));
  const streams = Array.from({ length: STREAMS }, (_, at) =>
    trouble(stage, history, kinds, at === 0, endsAtMs),
  );
  await Promise.all(streams);
  const calmFromMs = monotonicMs();
  await sleep(CALM_MS);
  stop.abort();
  const [wholeSteps] = await Promise.all([Promise.all(trainers), ...callers, probing]);
  clearInterval(beats);
  const accepted = acceptedJobs(history);
  const unreadable = await readAgain(load, accepted);
  const found = [
    ...unreadable,
    ...breaches(history, evidenceOf(system)),
    ...recoveryBreaches(history, calmFromMs),
    ...configurationBreaches(history.probes, {
      written: stage.configurations.written,
      servedBy: servedBy(system),
      faults: history.faults,
      boundMs: shape.configurationBoundMs,
      contactMs: shape.contactMs,
    }),
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
    configurations: stage.configurations.written.length,
    probes: history.probes.length,
    tellingProbes: history.probes.filter(({ status }) => status === 200 || status === 404).length,
    limitedCalls: system.store.limitedCalls,
    longestStandstillMs: Math.round(delays.max / NANOSECONDS_PER_MS),
    violations: found.length,
  };
  return { summary, found, history, written: stage.configurations.written };
}

const times = (count: number) => Array.from({ length: count }, (_, at) => at);

async function prepare(system: ServiceSystem, seed: number, shape: Shape): Promise<Stage> {
  await system.reportUsage(WINDOW_MS, USAGE_DUE_MS);
  const configurations = new ConfigurationSeries(system, shape.idleRoutes);
  configurations.change();
  system.trainer.key = LARGE.apiKeys[0];
  const { store } = system;
  store.delayMs = shape.storeAnswerMs;
  store.readsPerSecond = shape.storeReadsPerSecond;
  store.writesPerSecond = shape.storeWritesPerSecond;
  const models = Object.fromEntries(MODELS.map((model) => [model, 1]));
  const zoneOf = (at: number) => `zone-${(at % shape.zones) + 1}`;
  const addEngine = () => system.addEngine({ models, events: EVENTS, workMs: EVENT_MS });
  const engines = await Promise.all(times(shape.engines).map(addEngine));
  const applications = await Promise.all(
    times(shape.applications).map((at) =>
      system.addApplication({ zone: zoneOf(at), slots: shape.applicationSlots }),
    ),
  );
  for (const at of times(SECOND_APPLICATIONS))
    await system.addApplication({
      service: SECOND_SERVICE,
      zone: zoneOf(at),
      slots: shape.applicationSlots,
    });
  const names = times(shape.nodes).map((at) => `node-${at + 1}`);
  const settingsOf = (name: string) => ({
    zone: zoneOf(names.indexOf(name)),
    'bounds.configApplyMs': String(shape.configurationBoundMs),
  });
  const nodes = await startAll(system, names, settingsOf);
  return {
    system,
    nodes: new Map(nodes.map((node) => [node.name, node])),
    engines: new Set(engines),
    applications,
    addEngine,
    settingsOf,
    configurations,
    storeAnswerMs: shape.storeAnswerMs,
    random: new Random(seed),
    struck: new Set(),
    sendCrowd: async () => {},
  };
}

/** Starts the nodes, some at a time, and waits until all are ready. */
async function startAll(
  system: ServiceSystem,
  names: readonly string[],
  settingsOf: Stage['settingsOf'],
): Promise<ServiceNodeProcess[]> {
  const nodes: ServiceNodeProcess[] = [];
  for (let from = 0; from < names.length; from += STARTING) {
    const some = names.slice(from, from + STARTING);
    nodes.push(...(await Promise.all(some.map((name) => system.addNode(name, settingsOf(name))))));
  }
  await Promise.all(nodes.map((node) => system.untilReady(node)));
  return nodes;
}

/** Every replica that is up writes its row again. */
function beat({ system }: Stage): void {
  for (const replica of system.replicas) replica.beat();
}

/** Service that ran each request. */
function servedBy(system: ServiceSystem): Map<string, string> {
  return new Map(
    system.replicas.flatMap(({ received, options }) =>
      received
        .filter(({ beganAtMs }) => beganAtMs !== undefined)
        .map(({ id }): [string, string] => [id, options.service]),
    ),
  );
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
    const struck = new Set<string>();
    await FAULTS[kind]?.({ ...stage, struck }, forMs);
    history.faults.push({ kind, nodes: [...struck], fromMs, untilMs: monotonicMs() });
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
      shape: { type: 'string', default: 'small' },
      logs: { type: 'string' },
    },
  });
  const shape = SHAPES[values.shape];
  if (!shape) throw new Error(`--shape: one of ${Object.keys(SHAPES).join(', ')}`);
  const { summary, found } = await soak({
    seed: Number(values.seed),
    minutes: Number(values.minutes),
    only: values.only?.split(','),
    shape,
    logFolder: values.logs,
  });
  for (const line of found) process.stdout.write(`${line}\n`);
  process.stdout.write(`${JSON.stringify(summary)}\n`);
  return found.length;
}
