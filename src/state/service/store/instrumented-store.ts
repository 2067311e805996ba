/**
 * Wraps a record store with metrics and a health state: answering, slow or silent. Calls are passed on
 * unchanged and never repeated; those whose answer is lost are aborted (`overdue-calls.ts`).
 */
import type { Result } from 'neverthrow';
import { MILLISECONDS_PER_SECOND, monotonicMs } from '../../../common/clock.js';
import type { DecisionLogger } from '../../../common/decision-logger.js';
import { Lifecycle } from '../../../common/lifecycle.js';
import type { ServiceMetrics } from '../../../common/service-metrics.js';
import type {
  RecordChanges,
  RecordPage,
  RecordRange,
  RecordStore,
  RecordStoreError,
  RecordStoreFailure,
  RecordTransaction,
  StoreClock,
} from '../../../protocol/record-store.js';
import { OverdueCalls } from './overdue-calls.js';

type Health = 'answering' | 'slow' | 'silent';
type HealthEvent = 'answered' | 'answeredLate' | 'failed';

const HEALTH_TRANSITIONS = {
  answering: { answered: 'answering', answeredLate: 'slow', failed: 'silent' },
  slow: { answered: 'answering', answeredLate: 'slow', failed: 'silent' },
  silent: { answered: 'answering', answeredLate: 'slow', failed: 'silent' },
} as const;

/** Average latency above which the store is logged as slow. */
const SLOW_LATENCY_MS = 100;

/** The store is silent after this time without an answer, or after this many average latencies if longer. */
const SILENCE_TIMEOUT_MS = 1_000;
const SILENCE_LATENCY_FACTOR = 4;

/** A minimal scan that checks whether the store answers. */
const PROBE: RecordRange = { table: 'probe', partition: '', limit: 1 };

/** Failures in which the store did not process the call. */
const UNSERVED_FAILURES: ReadonlySet<RecordStoreFailure> = new Set(['unavailable', 'rate-limited']);

function wasServed(answer: Result<unknown, RecordStoreError>): boolean {
  return answer.isOk() || !UNSERVED_FAILURES.has(answer.error.failure);
}

function countsAsAnswering(silentMs: number, averageLatencyMs: number): boolean {
  return silentMs < Math.max(SILENCE_TIMEOUT_MS, averageLatencyMs * SILENCE_LATENCY_FACTOR);
}

export class InstrumentedStore implements RecordStore {
  private readonly health: Lifecycle<Health, HealthEvent>;
  private readonly calls = new OverdueCalls(() => void this.scan(PROBE));

  constructor(
    private readonly inner: RecordStore,
    private readonly metrics: ServiceMetrics,
    logger: DecisionLogger,
  ) {
    const info = (change: string, fields: { reason?: unknown } = {}) =>
      logger.record({ event: 'process-changed', change, detail: String(fields.reason ?? '') });
    this.health = new Lifecycle<Health, HealthEvent>('store', 'store', 'answering', HEALTH_TRANSITIONS, {
      logger: { info },
      metrics,
    });
  }

  get limits() {
    return this.inner.limits;
  }

  averageLatencyMs(): number {
    return this.calls.averageLatencyMs;
  }

  isAnswering(): boolean {
    return countsAsAnswering(this.calls.silentMs, this.averageLatencyMs());
  }

  nowMs(): number {
    return this.inner.nowMs();
  }

  clock(): StoreClock | undefined {
    return this.inner.clock();
  }

  transact(transaction: RecordTransaction) {
    return this.measure('transact', (signal) => this.inner.transact(transaction, signal));
  }

  scan(range: RecordRange): Promise<Result<RecordPage, RecordStoreError>> {
    return this.measure('scan', (signal) => this.inner.scan(range, signal));
  }

  async changes(
    table: string,
    after: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<Result<RecordChanges, RecordStoreError>> {
    const call = this.calls.open(waitMs, signal);
    const answer = await this.inner.changes(table, after, waitMs, call.signal);
    call.close(wasServed(answer));
    this.metrics.storeCalls.inc({ call: 'changes', outcome: answer.isOk() ? 'ok' : answer.error.failure });
    return answer;
  }

  putObject(name: string, bytes: Buffer) {
    return this.measure('put-object', () => this.inner.putObject(name, bytes));
  }

  getObject(name: string) {
    return this.measure('get-object', () => this.inner.getObject(name));
  }

  listObjects(prefix: string) {
    return this.measure('list-objects', () => this.inner.listObjects(prefix));
  }

  removeObject(name: string) {
    return this.measure('remove-object', () => this.inner.removeObject(name));
  }

  private async measure<T>(
    call: string,
    run: (signal: AbortSignal) => Promise<Result<T, RecordStoreError>>,
  ): Promise<Result<T, RecordStoreError>> {
    const startedAt = monotonicMs();
    const open = this.calls.open(0);
    const answer = await run(open.signal);
    open.close(wasServed(answer));
    const latencyMs = monotonicMs() - startedAt;
    this.metrics.storeSeconds.observe({ call }, latencyMs / MILLISECONDS_PER_SECOND);
    this.metrics.storeCalls.inc({ call, outcome: answer.isOk() ? 'ok' : answer.error.failure });
    this.updateHealth(
      answer.isErr() && answer.error.failure === 'unavailable' ? answer.error.message : undefined,
    );
    return answer;
  }

  /** A failed call changes nothing while others are answered: it may concern one partition or one answer. */
  private updateHealth(failure: string | undefined): void {
    const latencyMs = this.averageLatencyMs();
    if (!this.isAnswering()) this.health.sendIfAccepted('failed', failure ?? 'no answer');
    else if (failure === undefined)
      this.health.sendIfAccepted(
        latencyMs > SLOW_LATENCY_MS ? 'answeredLate' : 'answered',
        `${Math.round(latencyMs)} ms`,
      );
  }
}
