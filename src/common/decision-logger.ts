/**
 * Writes decision records as roarr JSON lines to standard output, rate-limited by event. Lines beyond the
 * limit are counted, and the counts are written once a second. A slow reader never delays the node: its lines
 * are dropped and counted.
 */
import { MILLISECONDS_PER_SECOND } from './clock.js';
import './roarr-environment.js';
import { ROARR, Roarr } from 'roarr';
import type { DecisionRecord } from './decision-records.js';
import { LineWriter } from './line-writer.js';
import { TokenBucket } from './token-bucket.js';

/**
 * Lines of one event per second in the long run, and in a burst. The busiest second measured had 148 lines of
 * all events (docs/design/logging.md), so that only an overload exceeds the burst.
 */
const LINES_PER_SECOND = 100;
const BURST_LINES = 400;
/** Longest wait for the reader at the end, milliseconds. Chosen, not measured: below the grace of a stop. */
const FLUSH_TIMEOUT_MS = 200;

/** Takes decision records. */
export interface DecisionLogger {
  record(record: DecisionRecord): void;
}

/** A logger that drops everything: for tests and the demo. */
export const silentDecisionLogger: DecisionLogger = { record: () => {} };

interface RateLimit {
  readonly bucket: TokenBucket;
  /** Lines not written since the last summary. */
  suppressed: number;
}

/** The logger of a process. */
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

  /** Lines dropped because the reader was too slow. */
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

  /** Writes what is left before the process ends. */
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
