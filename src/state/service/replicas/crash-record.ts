/**
 * Crash reports in the store: one record for each request and replica, and one for the answer that clears the
 * request. They lie in the table of jobs, which every node follows; nodes of older builds ignore them there,
 * since they are not JSON. The stored names `fatal-runs` and `served` (in place of an id) stay.
 */
import type { ChangedRecord, RecordWrite } from '../../../protocol/record-store.js';
import { FOLLOWED_TABLE } from '../store/index.js';
import type { AnsweredRequest, Crash } from './crash-history.js';

export const CRASH_PARTITION = 'fatal-runs';

const KEY_SEPARATOR = '/';
const FIELD_SEPARATOR = '\n';

/** In place of the replica's id and address in the record of an answer. */
const ANSWERED_MARKER = 'served';

/** Content of a record. */
export type CrashReport =
  | { readonly kind: 'ended'; readonly run: Crash }
  | { readonly kind: 'served'; readonly run: AnsweredRequest };

function reportRecord(digest: string, subject: string, text: string, timeMs: number): RecordWrite {
  return {
    table: FOLLOWED_TABLE,
    partition: CRASH_PARTITION,
    key: `${digest}${KEY_SEPARATOR}${subject}`,
    value: Buffer.from(`${text}${FIELD_SEPARATOR}${Math.round(timeMs)}`, 'utf8'),
  };
}

/** The record of a crash; another report of the same request and replica replaces it. */
export function toCrashRecord({ digest, address, endedAtMs }: Crash, replicaId: string): RecordWrite {
  return reportRecord(digest, replicaId, address, endedAtMs);
}

/** The record of an answer; that of a later answer replaces it. */
export function toAnswerRecord({ digest, servedAtMs }: AnsweredRequest): RecordWrite {
  return reportRecord(digest, ANSWERED_MARKER, ANSWERED_MARKER, servedAtMs);
}

/** Content of a record; `undefined` when it is no crash report. */
export function parseCrashReport({
  key,
  value,
}: Pick<ChangedRecord, 'key' | 'value'>): CrashReport | undefined {
  const [digest] = key.split(KEY_SEPARATOR);
  const [text, time] = (value?.toString('utf8') ?? '').split(FIELD_SEPARATOR);
  const timeMs = Number(time);
  if (!digest || !text || !time || !Number.isFinite(timeMs)) return undefined;
  if (text === ANSWERED_MARKER) return { kind: 'served', run: { digest, servedAtMs: timeMs } };
  return { kind: 'ended', run: { digest, address: text, endedAtMs: timeMs } };
}

/** Time of the crash or the answer, on the store's clock, milliseconds. */
export function reportTimeMs(report: CrashReport): number {
  return report.kind === 'served' ? report.run.servedAtMs : report.run.endedAtMs;
}
