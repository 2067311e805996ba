/** The clients of a soak: trainers that submit a job for each step, and callers with lookups. */
import { itemIds, type JobTrainer, type TrainerJob } from '../../emulator/clients/job-trainer.js';
import { monotonicMs, sleep } from '../../src/common/clock.js';
import type { Random } from '../../src/common/random.js';
import { HOST, JOB_PATH, SCORING_PATH, type ServiceSystem } from '../../test/support/service-system.js';
import { bearing, LARGE, SMALL } from '../../test/support/tenants.js';
import { CHANGING_KEY } from './configuration-series.js';
import { type History, type JobHistory, jobHistory, notePage } from './records.js';

/**
 * Longest time for a step and for a submission, and pauses between calls, milliseconds. Chosen, not measured.
 */
const STEP_LIMIT_MS = 8_000;
const SUBMIT_LIMIT_MS = 6_000;
const PAUSE_MS = 60;
const LOOKUP_PAUSE_MS = 40;
const STATUS_ACCEPTED = 202;
/** Nodes at which a job is read again at the end: all of a small fleet. */
const READ_AGAIN_NODES = 4;
const GROUPS = 4;
const GROUP_SIZE = 3;
/** Estimates of the tokens of a sample, far off on purpose. */
const LONGEST_ESTIMATE = 100;
/** Part of the items that a trainer waits for. */
const AWAITED = 0.9;

/** Shared state of the clients. */
export interface Load {
  readonly system: ServiceSystem;
  readonly trainer: JobTrainer;
  /** URLs of the running nodes. */
  readonly nodes: () => readonly string[];
  readonly history: History;
  readonly random: Random;
  readonly signal: AbortSignal;
}

/** Runs step after step of one model; resolves to the number of whole steps. */
export async function trainSteps(load: Load, model: string): Promise<number> {
  let whole = 0;
  for (let step = 1; !load.signal.aborted; step += 1) {
    if (step > 1) load.system.nameVersion(step, model);
    const job: TrainerJob = {
      id: `${model}-step-${step}`,
      host: HOST,
      path: JOB_PATH,
      model,
      minVersion: Math.max(1, step - 1),
      groups: GROUPS,
      groupSize: GROUP_SIZE,
      scoringPath: `${SCORING_PATH}x`,
      estimates: Array.from({ length: GROUPS * GROUP_SIZE }, () => 1 + load.random.integer(LONGEST_ESTIMATE)),
    };
    if (await trainStep(load, jobHistory(job))) whole += 1;
  }
  return whole;
}

async function trainStep(load: Load, history: JobHistory): Promise<boolean> {
  load.history.jobs.push(history);
  if (!(await submit(load, history))) return false;
  const deadline = monotonicMs() + STEP_LIMIT_MS;
  const wanted = Math.ceil(itemIds(history.job).length * AWAITED);
  while (history.positions.size < wanted && monotonicMs() < deadline) await readOnce(load, history);
  await end(load, history);
  return history.positions.size >= wanted;
}

async function submit(load: Load, history: JobHistory): Promise<boolean> {
  const deadline = monotonicMs() + SUBMIT_LIMIT_MS;
  while (monotonicMs() < deadline) {
    const status = await load.trainer.submit(anyNode(load), history.job);
    history.statuses.push(status);
    if (status === STATUS_ACCEPTED) return true;
    await sleep(PAUSE_MS);
  }
  return false;
}

/** Reads on from the end, and now and then from an earlier position. */
async function readOnce(load: Load, history: JobHistory): Promise<void> {
  const listed = history.positions.size;
  const position = load.random.integer(4) === 0 ? load.random.integer(listed + 1) : listed;
  const { status, page } = await load.trainer.read(anyNode(load), history.job.id, position);
  if (page) notePage(history, position, page.results);
  else if (status === 404 || status === 410) history.denials.push(status);
  if (!page) await sleep(PAUSE_MS);
}

async function end(load: Load, history: JobHistory): Promise<void> {
  for (let tries = 0; tries < 20; tries += 1) {
    if ((await load.trainer.end(anyNode(load), history.job.id)) === 200) {
      history.endedAtMs = monotonicMs();
      return;
    }
    await sleep(PAUSE_MS);
  }
}

/** Keys that lookups bear in turn, and whose they are; nobody has the last one. */
const KEYS: readonly { readonly key: string; readonly tenant: string | undefined }[] = [
  ...LARGE.apiKeys.map((key) => ({ key, tenant: LARGE.name })),
  ...SMALL.apiKeys.map((key) => ({ key, tenant: SMALL.name })),
  { key: CHANGING_KEY, tenant: LARGE.name },
  { key: 'key-of-nobody', tenant: undefined },
];

/** Sends lookups until the signal. */
export async function lookUp(load: Load, caller: string): Promise<void> {
  for (let count = 1; !load.signal.aborted; count += 1) {
    await lookUpOnce(load, `${caller}-${count}`);
    await sleep(LOOKUP_PAUSE_MS);
  }
}

/** Sends many lookups at once, to any nodes. */
export async function lookUpAtOnce(load: Load, count: number): Promise<void> {
  crowds += 1;
  const ids = Array.from({ length: count }, (_, at) => `crowd-${crowds}-${at}`);
  await Promise.all(ids.map((id) => lookUpOnce(load, id)));
}

let crowds = 0;

async function lookUpOnce(load: Load, id: string): Promise<void> {
  const { key, tenant } = load.random.pick(KEYS);
  const answer = await load.system.lookup({ url: anyNode(load) }, id, bearing(key));
  const body = answer?.body.toString('utf8') ?? '';
  load.history.lookups.push({ id, tenant, status: answer?.status ?? 0, body });
}

/** Reads every accepted job from the start at several nodes, after the last fault. */
export async function readAgain(load: Load, histories: readonly JobHistory[]): Promise<string[]> {
  const unreadable: string[] = [];
  for (const history of histories)
    for (const node of load.random.sample(load.nodes(), READ_AGAIN_NODES))
      if (!(await readFromStart(load, history, node)))
        unreadable.push(`${history.job.id}: cannot be read again at a node`);
  return unreadable;
}

async function readFromStart(load: Load, history: JobHistory, node: string): Promise<boolean> {
  const listed = history.positions.size;
  for (let position = 0, tries = 0; position < listed; tries += 1) {
    const { page } = await load.trainer.read(node, history.job.id, position);
    if (tries > listed + 20) return false;
    if (page) notePage(history, position, page.results);
    position += page?.results.length ?? 0;
    if (!page || page.results.length === 0) await sleep(PAUSE_MS);
  }
  return true;
}

function anyNode({ nodes, random }: Load): string {
  return random.pick(nodes());
}
