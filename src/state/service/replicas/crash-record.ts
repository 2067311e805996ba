/**
 * Encodes crash reports as store records: one per request and replica that crashed, and one per request that
 * was answered. They are kept in the followed table, in the partition `fatal-runs`. Values are not JSON, so
 * that readers of other records in that table skip them.
 */
import type { ChangedRecord, RecordWrite } from '../../../protocol/record-store.js';
import { FOLLOWED_TABLE } from '../store/index.js';
import type { AnsweredRequest, Crash } from './crash-history.js';

export const CRASH_PARTITION = 'fatal-runs';

const KEY_SEPARATOR = '/';
const FIELD_SEPARATOR = '\n';

/** Bound what is kept, sent to other nodes and logged; in characters. */
const MAX_KEY_LENGTH = 200;
const MAX_TEXT_LENGTH = 100;

/** Stored in place of the replica's id and address in the record of an answer. */
const ANSWERED_MARKER = 'served';

/** Content of a record: `ended` is a crash of the replica, `served` an answered request. */
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

/** Record of a crash. A later report of the same request and replica overwrites it. */
export function toCrashRecord({ digest, address, endedAtMs }: Crash, replicaId: string): RecordWrite {
  return reportRecord(digest, replicaId, address, endedAtMs);
}

/** Record of an answer. A later answer to the same request overwrites it. */
export function toAnswerRecord({ digest, servedAtMs }: AnsweredRequest): RecordWrite {
  return reportRecord(digest, ANSWERED_MARKER, ANSWERED_MARKER, servedAtMs);
}

/** Decodes a record; returns `undefined` if it is not a crash report. */
export function parseCrashReport({
  key,
  value,
}: Pick<ChangedRecord, 'key' | 'value'>): CrashReport | undefined {
  const [digest] = key.split(KEY_SEPARATOR);
  const [text, time] = (value?.toString('utf8') ?? '').split(FIELD_SEPARATOR);
  const timeMs = Number(time);
  if (!digest || !text || !time || !Number.isFinite(timeMs)) return undefined;
  if (key.length > MAX_KEY_LENGTH || text.length > MAX_TEXT_LENGTH) return undefined;
  if (text === ANSWERED_MARKER) return { kind: 'served', run: { digest, servedAtMs: timeMs } };
  return { kind: 'ended', run: { digest, address: text, endedAtMs: timeMs } };
}

/** Time of the crash or answer on the clock of the store, milliseconds. */
export function reportTimeMs(report: CrashReport): number {
  return report.kind === 'served' ? report.run.servedAtMs : report.run.endedAtMs;
}
