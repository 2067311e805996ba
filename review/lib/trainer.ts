/** A trainer as PROTOCOL.md describes it: hands in a batch job, reads its results twice a second, ends it. */
import { send } from './calls.js';
import { HOST, MODEL, type Node, REWARD_PREFIX, ROLLOUT_PREFIX } from './deployment.js';
import { nowMs, record, sleep } from './record.js';

export interface BatchJob {
  readonly id: string;
  readonly step: number;
  readonly minVersion: number;
  readonly groups: number;
  readonly groupSize: number;
  readonly isScored: boolean;
}

export interface Listed {
  readonly id: string;
  readonly state: 'completed' | 'dead';
  readonly text: string;
  readonly versions: readonly number[];
  readonly score?: string;
  /** When it was read. */
  readonly readAtMs: number;
}

export function itemIdsOf({ id, groups, groupSize }: BatchJob): string[] {
  return Array.from({ length: groups * groupSize }, (_, at) => `${id}i${at}`);
}

const BODY = Buffer.from('the prompt').toString('base64');

/** Hands a job in, again at the next node after a failure. Resolves to the time of the first send. */
export async function submit(job: BatchJob, nodes: readonly Node[]): Promise<number> {
  const items = itemIdsOf(job).map((id, at) => ({
    id,
    path: `${ROLLOUT_PREFIX}3/${id}`,
    headers: { Model: MODEL, 'Token-Usage': '270,900', 'Prompt-Prefix': `${at % 7}a:255,${at}b:16` },
    body: BODY,
    tokens: 1_170,
    group: `${job.id}g${Math.floor(at / job.groupSize)}`,
    ...(job.isScored
      ? { scorer: { id: `${id}s`, host: HOST, path: `${REWARD_PREFIX}${id}`, body: BODY } }
      : {}),
  }));
  const { step, minVersion, groups } = job;
  const body = JSON.stringify({ step, model: MODEL, minVersion, desired: Math.ceil(groups * 0.9), items });
  const sentAtMs = nowMs();
  for (let tries = 0; tries < 10; tries += 1) {
    const node = nodes[tries % nodes.length] as Node;
    const headers = { host: HOST, 'request-id': job.id, 'content-type': 'application/json' };
    const path = `${ROLLOUT_PREFIX}${job.id}`;
    const answer = await send({ address: node.front, method: 'POST', path, headers, body, timeoutMs: 2_000 });
    record(`trainer: job ${job.id} to ${node.name}: ${answer.status}`);
    if (answer.status === 202) return sentAtMs;
    await sleep(200);
  }
  throw new Error(`job ${job.id} was not accepted`);
}

/** Reads results, from the nodes in turn, until all are listed or until `untilMs`. */
export async function readResults(job: BatchJob, nodes: readonly Node[], untilMs: number): Promise<Listed[]> {
  const listed: Listed[] = [];
  const total = job.groups * job.groupSize;
  for (let turn = 0; listed.length < total && nowMs() < untilMs; turn += 1) {
    const node = nodes[turn % nodes.length] as Node;
    const path = `/lots/${job.id}?afterRev=${listed.length}`;
    const headers = { host: HOST, 'wait-ms': '1000' };
    const answer = await send({ address: node.front, method: 'GET', path, headers, timeoutMs: 2_500 });
    if (answer.status === 200) {
      const { results } = JSON.parse(answer.body.toString('utf8')) as { results: Omit<Listed, 'readAtMs'>[] };
      for (const result of results) {
        listed.push({ ...result, readAtMs: nowMs() });
        record(
          `trainer: read ${result.id} at position ${listed.length - 1} from ${node.name}: ${result.state}`,
        );
      }
    } else record(`trainer: read of ${job.id} at ${node.name}: ${answer.status}`);
    await sleep(answer.status === 200 ? 400 : 100);
  }
  return listed;
}

/** Ends a job at the first node that answers 200. */
export async function end(job: BatchJob, nodes: readonly Node[]): Promise<void> {
  for (const node of nodes) {
    const path = `/lots/${job.id}`;
    const answer = await send({
      address: node.front,
      method: 'DELETE',
      path,
      headers: { host: HOST },
      timeoutMs: 2_500,
    });
    record(`trainer: end of ${job.id} to ${node.name}: ${answer.status}`);
    if (answer.status === 200) return;
  }
}
