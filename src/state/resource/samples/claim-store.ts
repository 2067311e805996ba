/**
 * Claims of requests with an Idempotency-Key to services that are not repeatable. A claim is committed before
 * the request is dispatched, so that a repeat, through any node, finds it and does not run the request again.
 * When the store cannot settle the claim, the request is rejected without having run; when it cannot record
 * the response, a repeat gets `dispatched` or `unknown`, never a second run.
 *
 * Rows: `claim/{service}/{hash of identity and key}` ClaimRow; bodies of answers in `claims/{claimId}`.
 */
import { err, ok, type Result } from 'neverthrow';
import { sleep } from '../../../common/clock.js';
import { sha256Hex, uniqueId } from '../../../common/identifier.js';
import { StateError } from '../../state-error.js';
import { type Attempt, type Objects, type StateResult, settle, type Table } from '../tables/index.js';

/** The recorded response. */
export interface RecordedAnswer {
  readonly status: number;
  readonly headers: Record<string, string>;
  readonly body: Buffer;
}

type ClaimState = 'dispatched' | 'answered' | 'unknown' | 'released';

interface ClaimRow {
  readonly claimId: string;
  readonly requestId: string;
  /** Hash of method, path and body: the same key with another request is an error of the caller. */
  readonly fingerprint: string;
  readonly state: ClaimState;
  readonly status?: number;
  readonly headers?: Record<string, string>;
  readonly bodyObject?: string;
}

/** A request to claim: the key is the caller's own, so it counts per service and identity. */
export interface ClaimRequest {
  readonly service: string;
  readonly identity: string;
  readonly idempotencyKey: string;
  readonly fingerprint: string;
  readonly requestId: string;
}

/** A claim that this request holds: it alone may be dispatched. */
export interface HeldClaim {
  readonly key: string;
  readonly row: ClaimRow;
  readonly version: number;
}

/** `held`: dispatch it. The others: an earlier request has the key, and must not run again. */
export type ClaimOutcome =
  | { readonly kind: 'held'; readonly claim: HeldClaim }
  | { readonly kind: 'answered'; readonly requestId: string; readonly answer: RecordedAnswer }
  | { readonly kind: 'dispatched'; readonly requestId: string }
  | { readonly kind: 'unknown'; readonly requestId: string };

/** Rounds in which a claim, or its end, is written. Chosen, not measured. */
const MAX_SETTLE_ROUNDS = 20;
/** Delay before a claim's end is written again, milliseconds. Chosen, not measured: 20 rounds take 5 s. */
const SETTLE_DELAY_MS = 250;

function claimKey(request: ClaimRequest): string {
  return `claim/${request.service}/${sha256Hex(`${request.identity}\n${request.idempotencyKey}`)}`;
}

/** Claims in the table service. */
export class ClaimStore {
  constructor(
    private readonly table: Table,
    private readonly objects: Objects,
  ) {}

  /** Claims a request, or returns the earlier one's state. Error `invalid`: the key is another request's. */
  async claim(request: ClaimRequest): StateResult<ClaimOutcome> {
    const key = claimKey(request);
    const row: ClaimRow = {
      claimId: uniqueId(),
      requestId: request.requestId,
      fingerprint: request.fingerprint,
      state: 'dispatched',
    };
    return settle(MAX_SETTLE_ROUNDS, 'the claim could not be settled', () =>
      this.claimOnce(key, row, request),
    );
  }

  private async claimOnce(key: string, row: ClaimRow, request: ClaimRequest): Attempt<ClaimOutcome> {
    const rows = await this.table.read([key]);
    if (rows.isErr()) return err(rows.error);
    const stored = rows.value[0];
    const known = stored?.value as ClaimRow | undefined;
    if (stored && known?.claimId === row.claimId) return held(key, row, stored.version);
    if (known && known.state !== 'released') return this.earlier(known, request);
    const version = stored?.version ?? 0;
    const written = await this.table.transact({
      conditions: [{ key, version }],
      writes: [{ key, value: row }],
    });
    if (written.isErr()) return written.error.effect === 'none' ? err(written.error) : undefined;
    return written.value.committed ? held(key, row, version + 1) : undefined;
  }

  /** Records the response. Best effort: without it a repeat gets `unknown` or `dispatched`. */
  async recordAnswer(claim: HeldClaim, answer: RecordedAnswer): Promise<void> {
    const bodyObject = `claims/${claim.row.claimId}`;
    const stored = await this.objects.put(bodyObject, answer.body);
    if (stored.isErr()) return this.recordUnknown(claim);
    const { status, headers } = answer;
    await this.recordEnd(claim, { ...claim.row, state: 'answered', status, headers, bodyObject });
  }

  /** Records that the outcome cannot be known. */
  recordUnknown(claim: HeldClaim): Promise<void> {
    return this.recordEnd(claim, { ...claim.row, state: 'unknown' });
  }

  /** Releases the claim: the request certainly did not run, so a repeat may. */
  release(claim: HeldClaim): Promise<void> {
    return this.recordEnd(claim, { ...claim.row, state: 'released' });
  }

  private async recordEnd(claim: HeldClaim, row: ClaimRow): Promise<void> {
    for (let attempt = 0; attempt < MAX_SETTLE_ROUNDS; attempt += 1) {
      const written = await this.table.transact({
        conditions: [{ key: claim.key, version: claim.version }],
        writes: [{ key: claim.key, value: row }],
      });
      if (written.isOk()) return;
      await sleep(SETTLE_DELAY_MS);
    }
  }

  private async earlier(known: ClaimRow, request: ClaimRequest): StateResult<ClaimOutcome> {
    if (known.fingerprint !== request.fingerprint) {
      return err(new StateError('invalid', 'none', 'the Idempotency-Key was used for another request'));
    }
    const { requestId } = known;
    if (known.state === 'dispatched') return ok({ kind: 'dispatched', requestId });
    if (known.state === 'unknown' || known.bodyObject === undefined)
      return ok({ kind: 'unknown', requestId });
    const body = await this.objects.get(known.bodyObject);
    if (body.isErr()) return err(body.error);
    if (body.value === undefined) return ok({ kind: 'unknown', requestId });
    const answer = { status: known.status ?? 200, headers: known.headers ?? {}, body: body.value };
    return ok({ kind: 'answered', requestId, answer });
  }
}

function held(key: string, row: ClaimRow, version: number): Result<ClaimOutcome, StateError> {
  return ok({ kind: 'held', claim: { key, row, version } });
}
