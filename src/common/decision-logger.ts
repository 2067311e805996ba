/**
 * Writes decision records as roarr JSON lines to standard output, within a budget for each kind. What is over the
 * budget is left out and counted; the counts are written once a second.
 */
import './roarr-environment.js';
import { ROARR, Roarr } from 'roarr';
import { monotonicMs } from './clock.js';
import type { DecisionRecord } from './decision-records.js';
import { LineWriter } from './line-writer.js';

/** Lines of one kind per second in the long run, and at once. */
const LINES_PER_SECOND = 100;
const BURST_LINES = 400;
const MILLISECONDS_PER_SECOND = 1000;
/** Longest wait for the reader before the process ends, milliseconds. */
const FLUSH_LIMIT_MS = 200;

/** Takes decision records. */
export interface DecisionLogger {
  record(record: DecisionRecord): void;
}

/** A logger that drops everything: for tests. */
export const silentDecisionLogger: DecisionLogger = { record: () => {} };

interface Budget {
  tokens: number;
  refilledAtMs: number;
  leftOut: number;
}

/** The logger of a process. */
export class StandardOutputLogger implements DecisionLogger {
  private readonly budgets = new Map<string, Budget>();
  private readonly log;
  private readonly summaryTimer: NodeJS.Timeout;

  constructor(
    node: string,
    private readonly writer = new LineWriter(process.stdout),
  ) {
    ROARR.write = (line: string) => {
      this.writer.write(line);
    };
    this.log = Roarr.child({ node });
    this.summaryTimer = setInterval(() => this.summarize(), MILLISECONDS_PER_SECOND);
    this.summaryTimer.unref();
  }

  /** Lines dropped because the reader was too slow. */
  get droppedLines(): number {
    return this.writer.dropped;
  }

  record(record: DecisionRecord): void {
    if (this.takeToken(record.event)) this.emit(record);
  }

  /** Writes what is left before the process ends. */
  async close(): Promise<void> {
    clearInterval(this.summaryTimer);
    this.summarize();
    await this.writer.flush(FLUSH_LIMIT_MS);
  }

  private emit(record: DecisionRecord): void {
    const { event, ...fields } = record;
    this.log.info(fields, event);
  }

  private takeToken(kind: string): boolean {
    const now = monotonicMs();
    const budget = this.budgets.get(kind) ?? { tokens: BURST_LINES, refilledAtMs: now, leftOut: 0 };
    this.budgets.set(kind, budget);
    const gained = ((now - budget.refilledAtMs) / MILLISECONDS_PER_SECOND) * LINES_PER_SECOND;
    budget.tokens = Math.min(BURST_LINES, budget.tokens + gained);
    budget.refilledAtMs = now;
    if (budget.tokens < 1) {
      budget.leftOut += 1;
      return false;
    }
    budget.tokens -= 1;
    return true;
  }

  private summarize(): void {
    for (const [kind, budget] of this.budgets) {
      if (budget.leftOut === 0) continue;
      this.emit({ event: 'lines-left-out', kind, count: budget.leftOut });
      budget.leftOut = 0;
    }
  }
}
