/** Stored records of usage: counts of each process, and decided reports. Names of fields stay. */
import { fnv1aHash } from '../../../common/spread.js';
import type { RecordAddress } from '../../../protocol/record-store.js';
import type { TenantCounts } from '../../../protocol/service/usage.js';

export const COUNT_TABLE = 'usage-counts';
export const REPORT_TABLE = 'usage-reports';

/**
 * Partitions of counts, over which nodes are spread, and the one of reports. A partition executes 300 writes
 * a second, one by one: in one with the heartbeats and leases of all nodes, counts would delay these
 * (docs/design/usage.md).
 */
export const COUNT_PARTITIONS: readonly string[] = ['usage-0', 'usage-1', 'usage-2', 'usage-3'];
export const REPORT_PARTITION = 'usage-reports';

/** Digits of a window in a key, so that keys sort by window. */
const WINDOW_DIGITS = 12;

/** Who has counted: one incarnation (`life`) of one node. */
export interface UsageSource {
  readonly node: string;
  readonly life: string;
}

/** What one process has counted in a window so far. Only that process writes it. */
export interface CountRecord {
  readonly counts: TenantCounts;
  /** Whether the window was over for the process when it wrote this. */
  readonly isClosed: boolean;
}

/** What is reported of a window. The counts never change once they are written. */
export interface ReportRecord {
  readonly counts: TenantCounts;
  /** Whether the collector has accepted the report. */
  readonly isReported: boolean;
  /** Node that decided. */
  readonly decidedBy: string;
}

/** A count as read. */
export interface StoredCount extends CountRecord {
  readonly window: number;
  readonly node: string;
}

/** A report as read or written. */
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

/** Node in the key of a count. */
export function nodeOfKey(key: string): string {
  return key.split('/')[1] ?? '';
}

/** Window in a key. */
export function windowOfKey(key: string): number {
  return Number(key.split('/')[0]);
}

/** First key of a window, and the end of all keys before it. */
export function windowKey(window: number): string {
  return String(window).padStart(WINDOW_DIGITS, '0');
}
