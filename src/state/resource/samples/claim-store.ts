/**
 * Claims of keyed requests to services that are not repeatable. A claim is committed before the request is
 * dispatched, so that a repeat, through whichever node, finds it and does not run the request again.
 *
 * Rows: `claim/{service}/{hash of identity and key}` ClaimRow; bodies of answers in `claims/{claimId}`.
 */
import { err, ok, type Result } from 'neverthrow';
import { sleep } from '../../../common/clock.js';
import { sha256Hex, uniqueId } from '../../../common/identifier.js';
import { StateError } from '../../state-error.js';
import type { Objects, Table } from '../tables/index.js';

/** The recorded answer. */
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

/** Who claims what. */
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

/** What a claim came to. */
export type ClaimOutcome =
  | { readonly kind: 'held'; readonly claim: HeldClaim }
  | { readonly kind: 'answered'; readonly requestId: string; readonly answer: RecordedAnswer }
  | { readonly kind: 'dispatched'; readonly requestId: string }
  | { readonly kind: 'unknown'; readonly requestId: string };

const SETTLE_TRIES = 20;
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

  /** Claims a request, or tells what became of an earlier one with the same key. */
  async claim(request: ClaimRequest): Promise<Result<ClaimOutcome, StateError>> {
    const key = claimKey(request);
    const row: ClaimRow = {
      claimId: uniqueId(),
      requestId: request.requestId,
      fingerprint: request.fingerprint,
      state: 'dispatched',
    };
    for (let attempt = 0; attempt < SETTLE_TRIES; attempt += 1) {
      const rows = await this.table.read([key]);
      if (rows.isErr()) return err(rows.error);
      const stored = rows.value[0];
      const known = stored?.value as ClaimRow | undefined;
      if (stored && known && known.claimId === row.claimId) return held(key, row, stored.version);
      if (known && known.state !== 'released') return this.earlier(known, request);
      const version = stored?.version ?? 0;
      const written = await this.table.transact({
        conditions: [{ key, version }],
        writes: [{ key, value: row }],
      });
      if (written.isOk() && written.value.committed) return held(key, row, version + 1);
      if (written.isErr() && written.error.effect === 'none') return err(written.error);
    }
    return err(new StateError('unavailable', 'unknown', 'the claim could not be settled', 1_000));
  }

  /** Records the answer. Best effort: without it a repeat is told that the outcome is unknown. */
  async recordAnswer(claim: HeldClaim, answer: RecordedAnswer): Promise<void> {
    const bodyObject = `claims/${claim.row.claimId}`;
    const stored = await this.objects.put(bodyObject, answer.body);
    if (stored.isErr()) return this.recordUnknown(claim);
    const { status, headers } = answer;
    await this.settle(claim, { ...claim.row, state: 'answered', status, headers, bodyObject });
  }

  /** Records that the outcome cannot be known. */
  recordUnknown(claim: HeldClaim): Promise<void> {
    return this.settle(claim, { ...claim.row, state: 'unknown' });
  }

  /** Gives the claim back: the request certainly did not run, and a repeat may. */
  release(claim: HeldClaim): Promise<void> {
    return this.settle(claim, { ...claim.row, state: 'released' });
  }

  private async settle(claim: HeldClaim, row: ClaimRow): Promise<void> {
    for (let attempt = 0; attempt < SETTLE_TRIES; attempt += 1) {
      const written = await this.table.transact({
        conditions: [{ key: claim.key, version: claim.version }],
        writes: [{ key: claim.key, value: row }],
      });
      if (written.isOk()) return;
      await sleep(SETTLE_DELAY_MS);
    }
  }

  private async earlier(known: ClaimRow, request: ClaimRequest): Promise<Result<ClaimOutcome, StateError>> {
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
