/**
 * Crash reports in the store: one record for each request and replica, and one for the answer that clears the
 * request. They lie in the table of jobs, which every node follows; nodes of older builds ignore them there,
 * since they are not JSON. The stored names `fatal-runs` and `served` (in place of an id) stay.
 */
import type { ChangedRecord, RecordWrite } from '../../../protocol/record-store.js';
import { FOLLOWED_TABLE } from '../store/index.js';
import type { Crash, ServedRun } from './crash-history.js';

export const CRASH_PARTITION = 'fatal-runs';

const KEY_SEPARATOR = '/';
const LINE = '\n';

/** In place of the replica's id and address in the record of an answer. */
const SERVED = 'served';

/** Content of a record. */
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

/** The record of a crash; another report of the same request and replica replaces it. */
export function toCrashRecord({ digest, address, endedAtMs }: Crash, replicaId: string): RecordWrite {
  return record(digest, replicaId, address, endedAtMs);
}

/** The record of an answer; that of a later answer replaces it. */
export function toServedRecord({ digest, servedAtMs }: ServedRun): RecordWrite {
  return record(digest, SERVED, SERVED, servedAtMs);
}

/** Content of a record; `undefined` when it is no crash report. */
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

/** Time of the crash or the answer, on the store's clock, milliseconds. */
export function timeOf(report: CrashReport): number {
  return report.kind === 'served' ? report.run.servedAtMs : report.run.endedAtMs;
}
