/** Stored records of tenants' usage: request counts of each process, and reports per window. */
import { fnv1aHash } from '../../../common/spread.js';
import type { RecordAddress } from '../../../protocol/record-store.js';
import type { TenantCounts } from '../../../protocol/service/usage.js';

export const COUNT_TABLE = 'usage-counts';
export const REPORT_TABLE = 'usage-reports';

/** Separate from the partition of heartbeats and leases, whose writes the counts would delay. */
export const COUNT_PARTITIONS: readonly string[] = ['usage-0', 'usage-1', 'usage-2', 'usage-3'];
export const REPORT_PARTITION = 'usage-reports';

/** Keys are zero-padded to sort by window. */
const WINDOW_DIGITS = 12;

/** Process that counts: one incarnation (`life`) of a node. */
export interface UsageSource {
  readonly node: string;
  readonly life: string;
}

/** Requests that one process has counted in a window so far. Only that process writes it. */
export interface CountRecord {
  readonly counts: TenantCounts;
  /** Whether the window was over for the process at the time of this write. */
  readonly isClosed: boolean;
}

/** The report of a window. Its counts never change. */
export interface ReportRecord {
  readonly counts: TenantCounts;
  /** Whether the collector has accepted the report. */
  readonly isReported: boolean;
  /** Node that created the report. */
  readonly decidedBy: string;
}

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
export function nodeOfKey(key: string): string {
  return key.split('/')[1] ?? '';
}

export function windowOfKey(key: string): number {
  return Number(key.split('/')[0]);
}

/** Start of the keys of a window, and exclusive end of those before it. */
export function windowKey(window: number): string {
  return String(window).padStart(WINDOW_DIGITS, '0');
}
