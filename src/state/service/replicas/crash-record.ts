/**
 * Fatal runs in the store: one record for each request and replica, and one for the answer that acquits the
 * request. They lie in the table of jobs, which nodes of the build before follow too; these take what is no
 * JSON for no job.
 */
import type { ChangedRecord, RecordWrite } from '../../../protocol/record-store.js';
import { FOLLOWED_TABLE } from '../store/index.js';
import type { Crash, ServedRun } from './crash-history.js';

/** Partition of these records. */
export const CRASH_PARTITION = 'fatal-runs';

const KEY_SEPARATOR = '/';
const LINE = '\n';

/** Stands in the place of a replica and its address in the record of an answer. */
const SERVED = 'served';

/** What a record tells. */
export type CrashReport =
  | { readonly kind: 'ended'; readonly run: Crash }
  | { readonly kind: 'served'; readonly run: ServedRun };

function record(digest: string, subject: string, text: string, timeMs: number): RecordWrite {
  return {
    table: FOLLOWED_TABLE,
    partition: CRASH_PARTITION,
    key: `${digest}${KEY_SEPARATOR}${subject}`,
    value: Buffer.from(`${text}${LINE}${Math.round(timeMs)}`, 'utf8'),
  };
}

/** The record of a run at one replica; another report of the same run takes its place. */
export function toCrashRecord({ digest, address, endedAtMs }: Crash, replicaId: string): RecordWrite {
  return record(digest, replicaId, address, endedAtMs);
}

/** The record of an answer; that of a later answer takes its place. */
export function toServedRecord({ digest, servedAtMs }: ServedRun): RecordWrite {
  return record(digest, SERVED, SERVED, servedAtMs);
}

/** What a record tells; `undefined` when it tells nothing. */
export function parseCrashReport({
  key,
  value,
}: Pick<ChangedRecord, 'key' | 'value'>): CrashReport | undefined {
  const [digest] = key.split(KEY_SEPARATOR);
  const [text, time] = (value?.toString('utf8') ?? '').split(LINE);
  const timeMs = Number(time);
  if (!digest || !text || !time || !Number.isFinite(timeMs)) return undefined;
  if (text === SERVED) return { kind: 'served', run: { digest, servedAtMs: timeMs } };
  return { kind: 'ended', run: { digest, address: text, endedAtMs: timeMs } };
}

/** Time that a report tells of, on the store's clock, milliseconds. */
export function timeOf(report: CrashReport): number {
  return report.kind === 'served' ? report.run.servedAtMs : report.run.endedAtMs;
}
