/** Stored records of tenants' usage: request counts of each process, and reports per window. */
import { err, type Result } from 'neverthrow';
import Type, { type Static } from 'typebox';
import { fnv1aHash } from '../../../common/spread.js';
import type { RecordAddress, StoredRecord } from '../../../protocol/record-store.js';
import { RecordFormat } from '../../store/index.js';

export const COUNT_TABLE = 'usage-counts';
export const REPORT_TABLE = 'usage-reports';

/** Separate from the partition of heartbeats and leases, whose writes the counts would delay. */
export const COUNT_PARTITIONS: readonly string[] = ['usage-0', 'usage-1', 'usage-2', 'usage-3'];
export const REPORT_PARTITION = 'usage-reports';

/** Keys are zero-padded to sort by window. */
const WINDOW_DIGITS = 12;
const PROBLEM_KEY = 'key: must begin with a window';

/** Process that counts: one incarnation (`life`) of a node. */
export interface UsageSource {
  readonly node: string;
  readonly life: string;
}

const CountsSchema = Type.Record(
  Type.String(),
  Type.Integer({ minimum: 0, maximum: Number.MAX_SAFE_INTEGER }),
);

const CountRecordSchema = Type.Object({
  counts: CountsSchema,
  /** Whether the window was over for the process at the time of this write. */
  isClosed: Type.Boolean(),
});
/** Requests that one process has counted in a window so far. Only that process writes it. */
export type CountRecord = Readonly<Static<typeof CountRecordSchema>>;

const ReportRecordSchema = Type.Object({
  counts: CountsSchema,
  /** Whether the collector has accepted the report. */
  isReported: Type.Boolean(),
  /** Node that created the report. */
  decidedBy: Type.String(),
});
/** The report of a window. Its counts never change. */
export type ReportRecord = Readonly<Static<typeof ReportRecordSchema>>;

const countFormat = new RecordFormat(CountRecordSchema);
const reportFormat = new RecordFormat(ReportRecordSchema);

export interface StoredCount extends CountRecord {
  readonly window: number;
  readonly node: string;
}

export interface StoredReport extends ReportRecord {
  readonly window: number;
  readonly version: number;
}

export function countAddress(window: number, { node, life }: UsageSource): RecordAddress {
  const partition = COUNT_PARTITIONS[fnv1aHash(node) % COUNT_PARTITIONS.length] as string;
  return { table: COUNT_TABLE, partition, key: `${windowKey(window)}/${node}/${life}` };
}

export function reportAddress(window: number): RecordAddress {
  return { table: REPORT_TABLE, partition: REPORT_PARTITION, key: windowKey(window) };
}

/** Name of the node in the key of a count. */
function nodeOfKey(key: string): string {
  return key.split('/')[1] ?? '';
}

/** `undefined` if the key is not that of a count or report. */
function windowOfKey(key: string): number | undefined {
  const [digits = ''] = key.split('/');
  return /^\d{12,15}$/.test(digits) ? Number(digits) : undefined;
}

/** The error says what is wrong with the record. */
export function parseCount({ key, value }: StoredRecord): Result<StoredCount, string> {
  const window = windowOfKey(key);
  if (window === undefined) return err(PROBLEM_KEY);
  return countFormat.parse(value).map((record) => ({ ...record, window, node: nodeOfKey(key) }));
}

/** The error says what is wrong with the record. */
export function parseReport({ key, value, version }: StoredRecord): Result<StoredReport, string> {
  const window = windowOfKey(key);
  if (window === undefined) return err(PROBLEM_KEY);
  return reportFormat.parse(value).map((record) => ({ ...record, window, version }));
}

/** Start of the keys of a window, and exclusive end of those before it. */
export function windowKey(window: number): string {
  return String(window).padStart(WINDOW_DIGITS, '0');
}
