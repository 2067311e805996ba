/**
 * A randomized soak: real node processes before stand-ins, under load, with faults of every kind at random
 * moments, up to two at once. At the end the promises are checked against the records of clients and
 * stand-ins.
 *
 *   npm run bench -- soak [--seed N] [--minutes M] [--only KIND,...] [--shape small|fleet] [--logs FOLDER]
 */
import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { monitorEventLoopDelay } from 'node:perf_hooks';
import { parseArgs } from 'node:util';
import { eventData } from '../../emulator/replica/replica-answers.js';
import { monotonicMs, sleep } from '../../src/common/clock.js';
import { Random } from '../../src/common/random.js';
import { ServiceSystem } from '../../test/support/service-system.js';
import { begunByWindow } from '../../test/support/tenants.js';
import { acceptedJobs, breaches, usageErrors } from './checks.js';
import { configurationBreaches, probeNodes } from './configuration-probes.js';
import { MODELS } from './configuration-series.js';
import { FAULTS, ON_NODES } from './faults.js';
import { type Load, lookUp, lookUpAtOnce, readAgain, trainSteps } from './load.js';
import { EVENTS, prepare, restartAfterFatal, WINDOW_MS } from './preparation.js';
import type { History } from './records.js';
import { SHAPES, type Shape } from './shape.js';
import type { Stage } from './stage.js';

/** How often each replica writes its row, milliseconds. */
const HEARTBEAT_MS = 1_200;
/** Lease time in the settings of the nodes, milliseconds. */
const LEASE_MS = 1_000;
/** Lengths of faults and of the pauses between them, milliseconds. Chosen, not measured. */
const SHORTEST_FAULT_MS = 300;
const LONGEST_FAULT_MS = 4_000;
const LONGEST_PAUSE_MS = 1_500;
/** Streams of faults in parallel. */
const STREAMS = 2;
/** Time without faults at the end, in which steps must succeed again, milliseconds. */
const CALM_MS = 12_000;
const MS_PER_MINUTE = 60_000;
const NANOSECONDS_PER_MS = 1e6;
const SMALL = SHAPES.small as Shape;
const STATUS_FAILURE = 500;

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
  /**
   * Configurations that were written, requests that asked which is in force, and those that were answered
   * with 200 or 404.
   */
  readonly configurations: number;
  readonly probes: number;
  readonly tellingProbes: number;
  /** Calls that the store refused because of its rates. */
  readonly limitedCalls: number;
  /** Longest pause of this process, which runs the stand-ins, milliseconds. */
  readonly longestStandstillMs: number;
  readonly violations: number;
}

/** Options of a soak. */
export interface SoakOptions {
  readonly seed: number;
  readonly minutes: number;
  /** Faults, by name. Default: all. */
  readonly only?: readonly string[];
  /** Default: the small one. */
  readonly shape?: Shape;
  /** Folder for the nodes' logs when a breach is found. Default: none are kept. */
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

/** Writes the history of the soak, and the log of each process into a file of its own. */
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
  const delays = monitorEventLoopDelay();
  delays.enable();
  const clients = startClients(stage, history, seed, shape);
  const endsAtMs = monotonicMs() + minutes * MS_PER_MINUTE;
  const kinds = Object.keys(FAULTS).filter((kind) => !only || only.includes(kind));
  const streams = Array.from({ length: STREAMS }, (_, at) =>
    causeFaults(stage, history, kinds, at === 0, endsAtMs),
  );
  await Promise.all(streams);
  const calmFromMs = monotonicMs();
  await sleep(CALM_MS);
  const wholeSteps = await clients.stop();
  const unreadable = await readAgain(clients.load, acceptedJobs(history));
  const found = [...unreadable, ...allBreaches(stage, history, shape, calmFromMs)];
  const longestStandstillMs = Math.round(delays.max / NANOSECONDS_PER_MS);
  const summary = {
    seed,
    ...summarize(stage, history),
    wholeSteps,
    longestStandstillMs,
    violations: found.length,
  };
  return { summary, found, history, written: stage.configurations.written };
}

/**
 * Starts trainers, callers, probes and the replicas' heartbeats; `stop` ends them and resolves to the number
 * of whole steps.
 */
function startClients(stage: Stage, history: History, seed: number, shape: Shape) {
  const { system } = stage;
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
  const heartbeats = setInterval(() => {
    for (const replica of system.replicas) replica.beat();
  }, HEARTBEAT_MS);
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
  return {
    load,
    stop: async () => {
      stop.abort();
      const [wholeSteps] = await Promise.all([Promise.all(trainers), ...callers, probing]);
      clearInterval(heartbeats);
      return wholeSteps.reduce((sum, count) => sum + count, 0);
    },
  };
}

/** Everything that clients and stand-ins have recorded against the promises. */
function allBreaches(stage: Stage, history: History, shape: Shape, calmFromMs: number): string[] {
  return [
    ...breaches(history, evidenceOf(stage)),
    ...recoveryBreaches(history, calmFromMs),
    ...configurationBreaches(history.probes, {
      written: stage.configurations.written,
      servedBy: servedBy(stage.system),
      faults: history.faults,
      boundMs: shape.configurationBoundMs,
      contactMs: shape.contactMs,
    }),
  ];
}

function summarize({ system, applications, configurations }: Stage, history: History) {
  const accepted = acceptedJobs(history);
  const { reports } = system.usage;
  return {
    faults: history.faults.length,
    jobs: accepted.length,
    results: accepted.reduce((sum, { positions }) => sum + positions.size, 0),
    lookups: history.lookups.length,
    unservedLookups: history.lookups.filter(({ status }) => status === 0 || status >= STATUS_FAILURE).length,
    windows: new Set(reports.map(({ window }) => window)).size,
    usageErrors: usageErrors(reports, begunByWindow(applications, WINDOW_MS)),
    fatalEnds: history.fatalEnds.length,
    configurations: configurations.written.length,
    probes: history.probes.length,
    tellingProbes: history.probes.filter(({ status }) => status === 200 || status === 404).length,
    limitedCalls: system.store.limitedCalls,
  };
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

/** Causes one fault after the other until the time is over. Only one stream ends or pauses processes. */
async function causeFaults(
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
    const affected = new Set<string>();
    await FAULTS[kind]?.({ ...stage, affected }, forMs);
    history.faults.push({ kind, nodes: [...affected], fromMs, untilMs: monotonicMs() });
  }
}

/** Nodes whose logs name an attempt at a replica, by the identifier of the request. */
function sendersIn(system: ServiceSystem): (requestId: string) => readonly string[] {
  const senders = new Map<string, Set<string>>();
  for (const { name, log } of system.nodes)
    for (const { message, context } of log) {
      if (message !== 'attempt-ended') continue;
      const requestId = String(context.requestId);
      senders.set(requestId, (senders.get(requestId) ?? new Set()).add(name));
    }
  return (requestId) => [...(senders.get(requestId) ?? [])];
}

function evidenceOf({ system, configurations }: Stage) {
  return {
    received: system.replicas.flatMap((replica) => replica.received),
    orders: system.replicas.map((replica) => replica.orders),
    sendersOf: sendersIn(system),
    reports: system.usage.reports,
    wholeText: (itemId: string) =>
      Array.from({ length: EVENTS }, (_, at) => eventData(itemId, at + 1)).join('\n'),
    apartMs: LEASE_MS,
    isSingleVersion: configurations.isSingleVersion,
  };
}

/** Without faults every model has a job that is accepted and ended with results. */
function recoveryBreaches(history: History, calmFromMs: number): string[] {
  return MODELS.filter(
    (model) =>
      !history.jobs.some(
        ({ job, endedAtMs, positions }) =>
          job.model === model && positions.size > 0 && (endedAtMs ?? 0) > calmFromMs,
      ),
  ).map((model) => `${model}: no step succeeded after the last fault`);
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
