/**
 * Writes decision records as roarr JSON lines to standard output, with a rate limit per event. Lines above
 * the limit are counted, and the counts are written every second. A slow reader never delays the node: lines
 * that it does not read in time are dropped and counted.
 */
import { MILLISECONDS_PER_SECOND } from './clock.js';
import './roarr-environment.js';
import { ROARR, Roarr } from 'roarr';
import type { DecisionRecord } from './decision-records.js';
import { LineWriter } from './line-writer.js';
import { TokenBucket } from './token-bucket.js';

/**
 * Rate limit of each event: sustained lines per second, and burst. Only an overload exceeds the burst
 * (docs/design/logging.md).
 */
const LINES_PER_SECOND = 100;
const BURST_LINES = 400;
/** Limits the final flush to less than the stop grace period. */
const FLUSH_TIMEOUT_MS = 200;

export interface DecisionLogger {
  record(record: DecisionRecord): void;
}

/** Drops all records; for tests and the demo. */
export const silentDecisionLogger: DecisionLogger = { record: () => {} };

interface RateLimit {
  readonly bucket: TokenBucket;
  /** Lines above the limit since the last report. */
  suppressed: number;
}

export class StandardOutputLogger implements DecisionLogger {
  private readonly limits = new Map<string, RateLimit>();
  private readonly log;
  private readonly reportTimer: NodeJS.Timeout;

  constructor(
    node: string,
    private readonly writer = new LineWriter(process.stdout),
  ) {
    ROARR.write = (line: string) => {
      this.writer.write(line);
    };
    this.log = Roarr.child({ node });
    this.reportTimer = setInterval(() => this.reportSuppressed(), MILLISECONDS_PER_SECOND);
    this.reportTimer.unref();
  }

  /** Lines dropped because of a slow reader. */
  get droppedLines(): number {
    return this.writer.dropped;
  }

  record(record: DecisionRecord): void {
    let limit = this.limits.get(record.event);
    if (!limit) {
      limit = { bucket: new TokenBucket(LINES_PER_SECOND, BURST_LINES), suppressed: 0 };
      this.limits.set(record.event, limit);
    }
    if (limit.bucket.take() === 0) this.emit(record);
    else limit.suppressed += 1;
  }

  /** Flushes buffered lines before the process exits. */
  async close(): Promise<void> {
    clearInterval(this.reportTimer);
    this.reportSuppressed();
    await this.writer.flush(FLUSH_TIMEOUT_MS);
  }

  private emit(record: DecisionRecord): void {
    const { event, ...fields } = record;
    this.log.info(fields, event);
  }

  private reportSuppressed(): void {
    for (const [kind, limit] of this.limits) {
      if (limit.suppressed === 0) continue;
      this.emit({ event: 'lines-left-out', kind, count: limit.suppressed });
      limit.suppressed = 0;
    }
  }
}
