/**
 * The table service as the rest of the node sees it: each call within the node's share of the rate, counted,
 * and with the health of the service kept as a lifecycle (available, slow, down).
 */
import { err, type Result } from 'neverthrow';
import { monotonicMs, sleep } from '../common/clock.js';
import { Lifecycle, type LifecycleObserver } from '../common/lifecycle.js';
import type { ProtocolError } from '../protocol/protocol-error.js';
import type { Row, TableServiceClient, Transaction, TransactionOutcome } from '../protocol/table-service.js';
import { fromProtocol, StateError } from './state-error.js';
import { TokenBucket } from './token-bucket.js';

type Health = 'available' | 'slow' | 'down';
type HealthEvent = 'answered' | 'answeredLate' | 'failed';

const HEALTH_TABLE = {
  available: { answeredLate: 'slow', failed: 'down' },
  slow: { answered: 'available', failed: 'down' },
  down: { answered: 'available', answeredLate: 'slow' },
} as const;

/** An answer that takes longer than this counts as late, milliseconds. */
const LATE_MS = 500;
/** Longest wait for the node's share of the rate, milliseconds. */
const MAX_BUDGET_WAIT_MS = 2_000;
const BURST = 64;

/** What a node reads and writes of the table service. */
export interface Table {
  transact(transaction: Transaction): Promise<Result<TransactionOutcome, StateError>>;
  read(keys: readonly string[]): Promise<Result<Row[], StateError>>;
  scan(prefix: string, limit: number, after?: string): Promise<Result<Row[], StateError>>;
}

/** The budgeted table service. */
export class PlatformTable implements Table {
  private readonly bucket: TokenBucket;
  private readonly health: Lifecycle<Health, HealthEvent>;

  constructor(
    private readonly client: TableServiceClient,
    private readonly observer: LifecycleObserver,
    callsPerSecond: number,
  ) {
    this.bucket = new TokenBucket(callsPerSecond, BURST);
    this.health = new Lifecycle<Health, HealthEvent>(
      'table-service',
      'platform',
      'available',
      HEALTH_TABLE,
      observer,
    );
  }

  /** Sets the node's share of the zone's rate. */
  setCallsPerSecond(rate: number): void {
    this.bucket.setRate(rate);
  }

  /** True while the last call failed. */
  get isDown(): boolean {
    return this.health.current === 'down';
  }

  transact(transaction: Transaction): Promise<Result<TransactionOutcome, StateError>> {
    return this.budgeted('transact', () => this.client.transact(transaction));
  }

  read(keys: readonly string[]): Promise<Result<Row[], StateError>> {
    return this.budgeted('read', () => this.client.read(keys));
  }

  scan(prefix: string, limit: number, after?: string): Promise<Result<Row[], StateError>> {
    return this.budgeted('scan', () => this.client.scan(prefix, limit, after));
  }

  private async budgeted<T>(
    operation: string,
    call: () => Promise<Result<T, ProtocolError>>,
  ): Promise<Result<T, StateError>> {
    const waitMs = await this.awaitBudget();
    if (waitMs > 0) {
      this.observer.metrics.platformCalls.inc({ operation, outcome: 'over-budget' });
      return err(new StateError('rate-limited', 'none', 'share of the platform rate is used up', waitMs));
    }
    const startedAt = monotonicMs();
    const answer = await call();
    const outcome = answer.isOk() ? 'ok' : answer.error.failure;
    this.observer.metrics.platformCalls.inc({ operation, outcome });
    this.noteHealth(answer, monotonicMs() - startedAt);
    return answer.mapErr(fromProtocol);
  }

  /** Waits for a token; returns 0 when one was taken, otherwise the wait that was too long. */
  private async awaitBudget(): Promise<number> {
    const deadline = monotonicMs() + MAX_BUDGET_WAIT_MS;
    for (;;) {
      const waitMs = this.bucket.take();
      if (waitMs === 0) return 0;
      if (monotonicMs() + waitMs > deadline) return waitMs;
      await sleep(waitMs);
    }
  }

  private noteHealth(answer: Result<unknown, ProtocolError>, tookMs: number): void {
    if (answer.isErr() && answer.error.failure === 'rate-limited') return;
    if (answer.isErr()) this.health.sendIfTaken('failed', answer.error.message);
    else this.health.sendIfTaken(tookMs > LATE_MS ? 'answeredLate' : 'answered');
  }
}

/** All rows under a prefix, read page by page. */
export async function scanAll(table: Table, prefix: string): Promise<Result<Row[], StateError>> {
  const pageSize = 1_000;
  const all: Row[] = [];
  for (;;) {
    const page = await table.scan(prefix, pageSize, all.at(-1)?.key);
    if (page.isErr()) return page;
    all.push(...page.value);
    if (page.value.length < pageSize) return page.map(() => all);
  }
}
