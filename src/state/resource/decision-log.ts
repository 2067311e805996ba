/**
 * Log of decisions, kept for diagnosis. The most recent records stay in memory; all are flushed in compressed
 * batches to the object store, named `decisions/{nodeId}/{first ms}-{last ms}-{sequence}`. While the object
 * store is unreachable, at most `PENDING_LIMIT` records are kept, and the oldest are dropped first.
 */
import { promisify } from 'node:util';
import { gunzip, gzip } from 'node:zlib';
import { sleep, wallTime } from '../../common/clock.js';
import type { Objects } from './tables/index.js';

const compress = promisify(gzip);
const decompress = promisify(gunzip);

export type DecisionKind =
  | 'route'
  | 'retry'
  | 'resume'
  | 'refuse'
  | 'deliver'
  | 'discard'
  | 'drain'
  | 'quarantine'
  | 'weights'
  | 'lease';

/** Inputs of a decision, shown to operators. */
export interface DecisionInputs {
  /** Eligible back ends, with their load as known at the time. */
  readonly candidates?: readonly {
    readonly backend: string;
    readonly load: number;
    readonly version?: number;
  }[];
  readonly rejected?: readonly { readonly backend: string; readonly reason: string }[];
  /** Oldest version of the sample, newest published version, and the staleness bound. */
  readonly staleness?: { readonly oldest: number; readonly newest: number; readonly bound: number };
  readonly note?: string;
}

/** A decision. `subjects` are its search keys: request ID, sample ID, `backend/{name}`, trainer. */
export interface DecisionRecord {
  readonly id: string;
  readonly at: string;
  readonly node: string;
  readonly kind: DecisionKind;
  readonly subjects: readonly string[];
  readonly choice: string;
  readonly reason: string;
  readonly configRevision: number;
  readonly inputs: DecisionInputs;
}

/** A decision without the fields that the log adds. */
export type Decision = Omit<DecisionRecord, 'id' | 'at' | 'node' | 'configRevision'>;

/** Records kept in memory. */
const RECENT_LIMIT = 20_000;
/** A crash loses the records of this interval. */
const FLUSH_INTERVAL_MS = 2_000;
/** Records kept while the object store is unreachable. */
const PENDING_LIMIT = 50_000;
/** Time by which a record may be later than the time searched for, milliseconds. */
const CLOCK_SLACK_MS = 10 * 60 * 1_000;
/** Tolerance at both ends of the time range of a batch, milliseconds. */
const BATCH_TIME_MARGIN_MS = 1_000;

interface TimedRecord {
  readonly atMs: number;
  readonly record: DecisionRecord;
}

function batchName(nodeId: string, batch: readonly TimedRecord[], sequence: number): string {
  return `decisions/${nodeId}/${batch[0]?.atMs ?? 0}-${batch.at(-1)?.atMs ?? 0}-${sequence}`;
}

/** Whether a batch may contain records around `atMs`. */
function mayContain(name: string, atMs: number): boolean {
  const [first, last] = (name.split('/').at(-1) ?? '').split('-').map(Number);
  return (
    first !== undefined &&
    last !== undefined &&
    first - BATCH_TIME_MARGIN_MS <= atMs + CLOCK_SLACK_MS &&
    last >= atMs - BATCH_TIME_MARGIN_MS
  );
}

export class DecisionLog {
  private recent: TimedRecord[] = [];
  private pending: TimedRecord[] = [];
  private sequence = 0;
  private recordCount = 0;
  private readonly startedAtMs = Date.now();

  constructor(
    private readonly nodeId: string,
    private readonly objects: Objects,
    private readonly configRevision: () => number,
  ) {}

  record(decision: Decision): DecisionRecord {
    this.recordCount += 1;
    const record: DecisionRecord = {
      id: `${this.nodeId}.${this.startedAtMs}.${this.recordCount}`,
      at: wallTime(),
      node: this.nodeId,
      configRevision: this.configRevision(),
      ...decision,
    };
    const timed = { atMs: Date.now(), record };
    this.recent.push(timed);
    this.pending.push(timed);
    if (this.recent.length > RECENT_LIMIT) this.recent = this.recent.slice(RECENT_LIMIT / 2);
    if (this.pending.length > PENDING_LIMIT) this.pending.shift();
    return record;
  }

  /** Records about a subject that are still in memory. */
  find(subject: string): DecisionRecord[] {
    return this.recent.filter((one) => one.record.subjects.includes(subject)).map((one) => one.record);
  }

  /** Flushes periodically until aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await sleep(FLUSH_INTERVAL_MS, signal);
      await this.flush();
    }
  }

  /** Writes the pending records, which stay pending if the object store is unreachable. */
  async flush(): Promise<void> {
    const batch = this.pending;
    if (batch.length === 0) return;
    this.pending = [];
    this.sequence += 1;
    const bytes = await compress(JSON.stringify(batch.map((one) => one.record)));
    const written = await this.objects.put(batchName(this.nodeId, batch, this.sequence), bytes);
    if (written.isErr()) this.pending = [...batch, ...this.pending].slice(-PENDING_LIMIT);
  }
}

/**
 * Finds records about a subject in the batches that a node wrote around a time, also after the node has
 * stopped. Batches that cannot be read are skipped.
 */
export async function findFlushedDecisions(
  objects: Objects,
  nodeId: string,
  subject: string,
  atMs: number,
): Promise<DecisionRecord[]> {
  const names = await objects.list(`decisions/${nodeId}/`);
  if (names.isErr()) return [];
  const found: DecisionRecord[] = [];
  for (const name of names.value.filter((one) => mayContain(one, atMs))) {
    const bytes = await objects.get(name);
    if (bytes.isErr() || !bytes.value) continue;
    const records = JSON.parse((await decompress(bytes.value)).toString('utf8')) as DecisionRecord[];
    found.push(...records.filter((record) => record.subjects.includes(subject)));
  }
  return found;
}
