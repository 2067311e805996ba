/** Access to the store's objects with a rate limit, call metrics and retries. */
import { err, type Result } from 'neverthrow';
import { sleep } from '../../../common/clock.js';
import type { Metrics } from '../../../common/metrics.js';
import { TokenBucket } from '../../../common/token-bucket.js';
import type { RecordStore, RecordStoreError } from '../../../protocol/record-store.js';
import { type StateResult, toStateError } from './row-table.js';

const MAX_ATTEMPTS = 3;
/** Delay before the first retry, milliseconds; doubled by each further attempt. */
const RETRY_DELAY_MS = 50;
/** Capacity of the token bucket, calls. */
const BURST_CALLS = 64;

export interface Objects {
  put(name: string, bytes: Buffer): StateResult<void>;
  get(name: string): StateResult<Buffer | undefined>;
  list(prefix: string): StateResult<string[]>;
}

/** Objects are never overwritten, so every call can be retried. */
export class StoredObjects implements Objects {
  private readonly bucket: TokenBucket;

  constructor(
    private readonly store: RecordStore,
    private readonly metrics: Metrics,
    callsPerSecond: number,
  ) {
    this.bucket = new TokenBucket(callsPerSecond, BURST_CALLS);
  }

  put(name: string, bytes: Buffer): StateResult<void> {
    return this.withRetry('put-object', () => this.store.putObject(name, bytes));
  }

  get(name: string): StateResult<Buffer | undefined> {
    return this.withRetry('get-object', () => this.store.getObject(name));
  }

  list(prefix: string): StateResult<string[]> {
    return this.withRetry('list-objects', () => this.store.listObjects(prefix));
  }

  private async withRetry<T>(
    operation: string,
    call: () => Promise<Result<T, RecordStoreError>>,
  ): StateResult<T> {
    let last: RecordStoreError | undefined;
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      await this.awaitToken();
      const answer = await call();
      this.metrics.platformCalls.inc({ operation, outcome: answer.isOk() ? 'ok' : answer.error.failure });
      if (answer.isOk()) return answer.mapErr(toStateError);
      last = answer.error;
      await sleep(RETRY_DELAY_MS * 2 ** attempt);
    }
    return err(toStateError(last as RecordStoreError));
  }

  private async awaitToken(): Promise<void> {
    for (let waitMs = this.bucket.take(); waitMs > 0; waitMs = this.bucket.take()) await sleep(waitMs);
  }
}
