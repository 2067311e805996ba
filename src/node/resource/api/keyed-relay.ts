/**
 * Relay of requests with an Idempotency-Key to services that are not repeatable: claimed in the store before
 * they are dispatched, so that a repeat through any node gets the recorded response and does not run the
 * request again.
 *
 * Relies on: `ClaimStore`. When the claim cannot be written, nothing is dispatched; when the outcome cannot
 * be recorded, repeats are rejected as `in-progress` or `outcome-unknown`.
 */
import { err, ok } from 'neverthrow';
import { sha256Hex } from '../../../common/identifier.js';
import {
  CoordinationError,
  type CoordinationResult,
  fromState,
} from '../../../coordination/resource/coordination-error.js';
import {
  type ApplicationRelay,
  type ApplicationRequest,
  closeDelimitedError,
  endToEndHeaders,
  isSelfDelimited,
  REQUEST_ID_HEADER,
  type RelayedResponse,
  type RequestContext,
  timeLeftMs,
} from '../../../coordination/resource/requests/index.js';
import type { ClaimStore, HeldClaim, RecordedResponse } from '../../../state/resource/samples/index.js';
import { readFully } from '../../../transport/http-client.js';
import { type Exchange, InvalidRequestError } from './exchange.js';

/** Dependencies of the relay. */
export interface KeyedRelayParts {
  readonly relay: ApplicationRelay;
  readonly claims: ClaimStore;
}

/** Largest response recorded for repeats; with a larger one the outcome is recorded as unknown. */
const RECORDED_BODY_LIMIT_BYTES = 8 * 1024 * 1024;
/** Retry-After while an earlier request with the key has no outcome, milliseconds. Chosen, not measured. */
const IN_PROGRESS_RETRY_MS = 1_000;
const MAX_KEY_LENGTH = 256;

/**
 * Relays a request unless an earlier one with the same key was dispatched; then returns the state of that
 * one.
 */
export async function relayKeyed(
  parts: KeyedRelayParts,
  exchange: Exchange,
  context: RequestContext,
  request: ApplicationRequest,
  key: string,
): CoordinationResult<void> {
  if (key.length === 0 || key.length > MAX_KEY_LENGTH) {
    const message = `must have 1 to ${MAX_KEY_LENGTH} characters`;
    return err(new InvalidRequestError([{ field: 'idempotency-key', message }]));
  }
  const claimed = await parts.claims.claim({
    service: request.service.metadata.name,
    identity: exchange.principal.identity,
    idempotencyKey: key,
    fingerprint: sha256Hex(`${request.method} ${request.path}\n${sha256Hex(request.body)}`),
    requestId: exchange.requestId,
  });
  // Nothing has been dispatched, whether or not the claim was written.
  if (claimed.isErr()) {
    const { code, message, retryAfterMs } = fromState(claimed.error);
    return err(new CoordinationError(code, 'no', message, retryAfterMs));
  }
  const outcome = claimed.value;
  if (outcome.kind === 'answered') {
    sendRecorded(exchange, outcome.answer);
    return ok(undefined);
  }
  if (outcome.kind === 'dispatched') {
    const message = `request ${outcome.requestId} with this key has been dispatched and has no recorded outcome yet`;
    return err(new CoordinationError('in-progress', 'unknown', message, IN_PROGRESS_RETRY_MS));
  }
  if (outcome.kind === 'unknown') {
    const message = `the outcome of request ${outcome.requestId} with this key is not known`;
    return err(new CoordinationError('outcome-unknown', 'unknown', message));
  }
  return dispatchClaimed(parts, exchange, context, request, outcome.claim);
}

async function dispatchClaimed(
  parts: KeyedRelayParts,
  exchange: Exchange,
  context: RequestContext,
  request: ApplicationRequest,
  claim: HeldClaim,
): CoordinationResult<void> {
  // The outcome is recorded for repeats, so a disconnect of the caller does not cancel the request.
  const uncancelled = { ...context, signal: AbortSignal.timeout(Math.ceil(timeLeftMs(context)) + 1) };
  const answer = await parts.relay.dispatch(uncancelled, request);
  if (answer.isErr()) {
    if (answer.error.executed === 'no') await parts.claims.release(claim);
    else await parts.claims.recordUnknown(claim);
    return err(answer.error);
  }
  const whole = await readAnswer(answer.value, request.method);
  if (whole.isErr()) {
    await parts.claims.recordUnknown(claim);
    return err(whole.error);
  }
  sendRecorded(exchange, whole.value);
  await parts.claims.recordResponse(claim, whole.value);
  return ok(undefined);
}

async function readAnswer(answer: RelayedResponse, method: string): CoordinationResult<RecordedResponse> {
  const { response, release, backend } = answer;
  try {
    if (!isSelfDelimited(response, method)) return err(closeDelimitedError(backend.name));
    const body = await readFully(response.body, RECORDED_BODY_LIMIT_BYTES);
    if (body.isErr()) {
      return err(
        new CoordinationError('outcome-unknown', 'unknown', `${backend.name}: ${body.error.message}`),
      );
    }
    const headers: Record<string, string> = {};
    for (const [name, value] of Object.entries(endToEndHeaders(response.headers)))
      headers[name] = String(value);
    return ok({ status: response.status, headers, body: body.value });
  } finally {
    release();
  }
}

function sendRecorded(exchange: Exchange, answer: RecordedResponse): void {
  if (exchange.response.destroyed) return;
  exchange.response.writeHead(answer.status, {
    ...answer.headers,
    'content-length': answer.body.length.toString(),
    [REQUEST_ID_HEADER]: exchange.requestId,
  });
  exchange.response.end(answer.body);
}
