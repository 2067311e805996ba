/**
 * Idempotency records of requests to services that are not repeatable. A claim on the Idempotency-Key is
 * committed before the request is dispatched, so that a retry through any node finds it and is not dispatched.
 * If the claim cannot be committed, the request is rejected without having run.
 *
 * Rows: `claim/{service}/{hash of identity and key}` ClaimRow; response bodies in `claims/{claimId}`.
 */
import { err, ok, type Result } from 'neverthrow';
import { sleep } from '../../../common/clock.js';
import { sha256Hex, uniqueId } from '../../../common/identifier.js';
import { StateError } from '../../state-error.js';
import { type Attempt, type Objects, type StateResult, settle, type Table } from '../tables/index.js';

export interface RecordedResponse {
  readonly status: number;
  readonly headers: Record<string, string>;
  readonly body: Buffer;
}

type ClaimState = 'dispatched' | 'answered' | 'unknown' | 'released';

/** Stored row; the state `answered` means that the response was recorded. */
interface ClaimRow {
  readonly claimId: string;
  readonly requestId: string;
  /** Hash of method, path and body; detects a key that is reused for a different request. */
  readonly fingerprint: string;
  readonly state: ClaimState;
  readonly status?: number;
  readonly headers?: Record<string, string>;
  readonly bodyObject?: string;
}

/** A request to claim. Idempotency keys are scoped to a service and a caller identity. */
export interface ClaimRequest {
  readonly service: string;
  readonly identity: string;
  readonly idempotencyKey: string;
  readonly fingerprint: string;
  readonly requestId: string;
}

/** A claim held by the current request, which may be dispatched. */
export interface HeldClaim {
  readonly key: string;
  readonly row: ClaimRow;
  readonly version: number;
}

/** `held`: the request may be dispatched. Otherwise an earlier request holds the key. */
export type ClaimOutcome =
  | { readonly kind: 'held'; readonly claim: HeldClaim }
  | { readonly kind: 'answered'; readonly requestId: string; readonly answer: RecordedResponse }
  | { readonly kind: 'dispatched'; readonly requestId: string }
  | { readonly kind: 'unknown'; readonly requestId: string };

const MAX_ATTEMPTS = 20;
const RETRY_DELAY_MS = 250;

function claimKey(request: ClaimRequest): string {
  return `claim/${request.service}/${sha256Hex(`${request.identity}\n${request.idempotencyKey}`)}`;
}

export class ClaimStore {
  constructor(
    private readonly table: Table,
    private readonly objects: Objects,
  ) {}

  /** Claims a request or returns the existing claim. Error `invalid`: the key belongs to another request. */
  async claim(request: ClaimRequest): StateResult<ClaimOutcome> {
    const key = claimKey(request);
    const row: ClaimRow = {
      claimId: uniqueId(),
      requestId: request.requestId,
      fingerprint: request.fingerprint,
      state: 'dispatched',
    };
    return settle(MAX_ATTEMPTS, 'idempotency claim was not confirmed by the store', () =>
      this.tryClaim(key, row, request),
    );
  }

  private async tryClaim(key: string, row: ClaimRow, request: ClaimRequest): Attempt<ClaimOutcome> {
    const rows = await this.table.read([key]);
    if (rows.isErr()) return err(rows.error);
    const stored = rows.value[0];
    const known = stored?.value as ClaimRow | undefined;
    if (stored && known?.claimId === row.claimId) return heldOutcome(key, row, stored.version);
    if (known && known.state !== 'released') return this.existingOutcome(known, request);
    const version = stored?.version ?? 0;
    const written = await this.table.transact({
      conditions: [{ key, version }],
      writes: [{ key, value: row }],
    });
    if (written.isErr()) return written.error.effect === 'none' ? err(written.error) : undefined;
    return written.value.committed ? heldOutcome(key, row, version + 1) : undefined;
  }

  /** Records the response, best effort; if it is not recorded, a retry gets `unknown` or `dispatched`. */
  async recordResponse(claim: HeldClaim, answer: RecordedResponse): Promise<void> {
    const bodyObject = `claims/${claim.row.claimId}`;
    const stored = await this.objects.put(bodyObject, answer.body);
    if (stored.isErr()) return this.recordUnknown(claim);
    const { status, headers } = answer;
    await this.recordOutcome(claim, { ...claim.row, state: 'answered', status, headers, bodyObject });
  }

  recordUnknown(claim: HeldClaim): Promise<void> {
    return this.recordOutcome(claim, { ...claim.row, state: 'unknown' });
  }

  /** Releases the claim of a request that did not run, so that a retry may run it. */
  release(claim: HeldClaim): Promise<void> {
    return this.recordOutcome(claim, { ...claim.row, state: 'released' });
  }

  private async recordOutcome(claim: HeldClaim, row: ClaimRow): Promise<void> {
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const written = await this.table.transact({
        conditions: [{ key: claim.key, version: claim.version }],
        writes: [{ key: claim.key, value: row }],
      });
      if (written.isOk()) return;
      await sleep(RETRY_DELAY_MS);
    }
  }

  private async existingOutcome(known: ClaimRow, request: ClaimRequest): StateResult<ClaimOutcome> {
    if (known.fingerprint !== request.fingerprint) {
      return err(
        new StateError('invalid', 'none', 'Idempotency-Key was already used for a different request'),
      );
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

function heldOutcome(key: string, row: ClaimRow, version: number): Result<ClaimOutcome, StateError> {
  return ok({ kind: 'held', claim: { key, row, version } });
}
