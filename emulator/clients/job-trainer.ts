/**
 * Stand-in of a trainer of the platform: submits a job to one node, reads its results from another, and ends
 * it.
 */
import { HEADER, JOB_PATH } from '../../platform/names.js';
import { sleep } from '../../src/common/clock.js';
import { HttpClient } from '../../src/transport/http-client.js';

/** A job to submit. */
export interface TrainerJob {
  readonly id: string;
  readonly host: string;
  readonly path: string;
  readonly model: string;
  readonly minVersion: number;
  readonly groups: number;
  readonly groupSize: number;
  /** Path of the scoring calls; none without it. */
  readonly scoringPath?: string;
  /** Number of an item whose body is `fatalBody`; none without it. */
  readonly fatalItem?: number;
  readonly fatalBody?: string;
  /** Estimated tokens of each item, in their order; none without it. */
  readonly estimates?: readonly number[];
}

/** A result as read. */
export interface ReadResult {
  readonly id: string;
  readonly state: 'completed' | 'dead';
  readonly text: string;
  readonly versions: readonly number[];
  readonly score?: string;
}

/** A page of results. */
export interface ReadPage {
  readonly total: number;
  readonly nextToken: number;
  readonly results: readonly ReadResult[];
}

const BYTES = Buffer.from('prompt').toString('base64');
const PAUSE_MS = 50;
const CALL_TIMEOUT_MS = 10_000;

/** Identifiers of a job's items. */
export function itemIds(job: TrainerJob): string[] {
  const count = job.groups * job.groupSize;
  return Array.from({ length: count }, (_, index) => `${job.id}-item-${index}`);
}

function estimateOf({ estimates }: TrainerJob, index: number): Record<string, string> {
  const tokens = estimates?.[index];
  return tokens === undefined ? {} : { [HEADER.lengthHint]: String(tokens) };
}

function submissionOf(job: TrainerJob): string {
  const items = itemIds(job).map((id, index) => ({
    id,
    path: `${job.path}${id}`,
    headers: { Model: job.model, 'Token-Usage': '10,20', ...estimateOf(job, index) },
    body: index === job.fatalItem ? Buffer.from(job.fatalBody ?? '').toString('base64') : BYTES,
    tokens: 30,
    group: `group-${Math.floor(index / job.groupSize)}`,
    scorer: job.scoringPath && { id: `${id}-score`, host: job.host, path: job.scoringPath, body: BYTES },
  }));
  const { model, minVersion, groups } = job;
  return JSON.stringify({ step: 0, model, minVersion, desired: groups, items });
}

/** Calls about jobs at the base URL of a node. */
export class JobTrainer {
  private readonly http = new HttpClient();

  /** Key that all calls bear, if any. */
  key: string | undefined;

  constructor(private readonly host: string) {}

  /** Closes all connections. */
  close(): Promise<void> {
    return this.http.close();
  }

  /** Submits once; resolves to the status, or 0 without an answer. */
  async submit(node: string, job: TrainerJob, body = submissionOf(job)): Promise<number> {
    const response = await this.call(node, 'POST', job.path, { [HEADER.requestId]: job.id }, body);
    return response?.status ?? 0;
  }

  /** Reads a page. */
  async read(node: string, jobId: string, position: number): Promise<{ status: number; page?: ReadPage }> {
    const path = `${JOB_PATH.results}${jobId}?afterRev=${position}`;
    const response = await this.call(node, 'GET', path, { [HEADER.waitMs]: '500' });
    if (response?.status !== 200) return { status: response?.status ?? 0 };
    return { status: 200, page: JSON.parse(response.body) as ReadPage };
  }

  /** Reads until all results are listed, from the nodes in turn. */
  async readAll(nodes: readonly string[], jobId: string, total: number): Promise<ReadResult[]> {
    const results: ReadResult[] = [];
    for (let turn = 0; results.length < total; turn += 1) {
      const { page } = await this.read(nodes[turn % nodes.length] as string, jobId, results.length);
      results.push(...(page?.results ?? []));
      if (!page) await sleep(PAUSE_MS);
    }
    return results;
  }

  /** Asks for the body of an item. */
  async item(node: string, jobId: string, itemId: string): Promise<{ status: number; body: string }> {
    const response = await this.call(node, 'GET', `${JOB_PATH.items}${jobId}?id=${itemId}`, {});
    return { status: response?.status ?? 0, body: response?.body ?? '' };
  }

  /** Ends a job; resolves to the status. */
  async end(node: string, jobId: string): Promise<number> {
    return (await this.call(node, 'DELETE', `${JOB_PATH.results}${jobId}`, {}))?.status ?? 0;
  }

  private async call(
    node: string,
    method: string,
    path: string,
    headers: Record<string, string>,
    body?: string,
  ): Promise<{ status: number; body: string } | undefined> {
    const answer = await this.http.exchange({
      method,
      url: `${node}${path}`,
      headers: {
        ...headers,
        ...(this.key === undefined ? {} : { authorization: `Bearer ${this.key}` }),
        host: this.host,
      },
      body,
      freshConnection: true,
      totalTimeoutMs: CALL_TIMEOUT_MS,
    });
    if (answer.isErr()) return undefined;
    return { status: answer.value.status, body: answer.value.body.toString('utf8') };
  }
}
