/**
 * Logs and counts stored records that this node cannot use, once for each change of a record. Such a record
 * counts as absent. Texts are bounded, since another process may have written the key.
 */
import type { DecisionLogger } from '../../../common/decision-logger.js';
import type { ServiceMetrics } from '../../../common/service-metrics.js';

/** Maximum lengths in a log line, characters. */
const MAX_NAME_LENGTH = 250;
const MAX_PROBLEM_LENGTH = 200;
/** Records whose last reported version is kept; the oldest are evicted first. */
const MAX_REPORTED = 1_000;

/** A record as read; without a partition if it is not known. */
interface UnreadableRecord {
  readonly table: string;
  readonly partition?: string;
  readonly key: string;
  readonly version: number;
}

export type ReportUnreadable = (record: UnreadableRecord, problem: string) => void;

/** For programs that only read the store once. */
export const ignoreUnreadable: ReportUnreadable = () => {};

export class UnreadableRecords {
  /** Version last reported, by table, partition and key. */
  private readonly reported = new Map<string, number>();

  constructor(
    private readonly metrics: Pick<ServiceMetrics, 'unreadableRecords'>,
    private readonly logger: DecisionLogger,
  ) {}

  report({ table, partition = '', key, version }: UnreadableRecord, problem: string): void {
    const address = JSON.stringify([table, partition, key]);
    if (this.reported.get(address) === version) return;
    this.reported.delete(address);
    this.reported.set(address, version);
    const [oldest] = this.reported.keys();
    if (this.reported.size > MAX_REPORTED && oldest !== undefined) this.reported.delete(oldest);
    this.metrics.unreadableRecords.inc({ table });
    this.logger.record({
      event: 'belief-changed',
      subject: 'record',
      name: `${table}/${key}`.slice(0, MAX_NAME_LENGTH),
      change: `unreadable: ${problem}`.slice(0, MAX_PROBLEM_LENGTH),
      version,
    });
  }
}
