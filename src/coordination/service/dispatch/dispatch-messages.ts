/**
 * Translates calls and results to and from messages (`dispatch-peer.ts`). Wire names that mislead:
 * - `rank`: priority, 0 is the most urgent
 * - `party`: flow
 * - `isPatient`: whether it is background work
 * - `isExtra`: whether it is a hedge
 * - `aimMs`, `leftMs`: time until the latency target, and until the deadline
 * - `isServed`: whether the store answers the caller's node; about the node, not about the request
 * - `hasEndedReplica`: whether the replica has crashed
 * - `room`: capacity
 *
 * Times on the wire are relative, since monotonic clocks cannot be compared; the hop is not deducted.
 */
import { monotonicMs } from '../../../common/clock.js';
import type {
  DispatchMessage,
  DispatchOutcomeMessage,
  Framed,
} from '../../../protocol/service/dispatch-peer.js';
import type { DispatchCall, DispatchResult } from './dispatch-call.js';
import type { AttemptOutcome } from './replica-exchange.js';

const NO_BODY = Buffer.alloc(0);

/** The message of a call. */
export function toMessage(call: DispatchCall, isStoreAnswering: boolean): Framed<DispatchMessage> {
  const nowMs = monotonicMs();
  const { id, method, path, host, headers, tenant, body } = call.request;
  return {
    message: {
      service: call.service,
      workKind: call.workKind,
      id,
      method,
      path,
      host,
      headers: headers as DispatchMessage['headers'],
      ...(tenant === undefined ? {} : { tenant }),
      rank: call.priority,
      party: call.flow,
      isPatient: call.isBackground,
      isExtra: call.isHedge,
      isRetry: call.isRetry,
      aimMs: call.targetAtMs - nowMs,
      leftMs: Math.max(0, call.deadlineMs - nowMs),
      excluded: [...call.excluded],
      configVersion: call.configVersion,
      isServed: isStoreAnswering,
    },
    body,
  };
}

/** The call of another node's message. */
export function toCall({ message, body }: Framed<DispatchMessage>, signal: AbortSignal): DispatchCall {
  const {
    service,
    workKind,
    rank: priority,
    party: flow,
    isPatient: isBackground,
    isExtra: isHedge,
    isRetry,
    aimMs,
    leftMs,
    excluded,
    configVersion,
    isServed: _,
    ...request
  } = message;
  const nowMs = monotonicMs();
  return {
    service,
    workKind,
    request: { ...request, body },
    priority,
    flow,
    isBackground,
    isHedge,
    isRetry,
    targetAtMs: nowMs + aimMs,
    deadlineMs: nowMs + leftMs,
    excluded: new Set(excluded),
    configVersion,
    signal,
  };
}

/** The message of a result. */
export function toOutcomeMessage(result: DispatchResult): Framed<DispatchOutcomeMessage> {
  const { outcome, replica, hasCrashedReplica, retryAfterMs, capacity, isLeaving: isClosed } = result;
  const shared = {
    kind: outcome.kind,
    hasEndedReplica: hasCrashedReplica,
    ...(replica ? { replica } : {}),
    ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
    ...(capacity ? { room: capacity } : {}),
    ...(isClosed ? { isClosed } : {}),
  };
  if (outcome.kind === 'answered') {
    const { body, headers, signature, ...answer } = outcome.answer;
    const signed = signature === undefined ? {} : { signature };
    return {
      message: { ...shared, ...answer, ...signed, headers: headers as DispatchMessage['headers'] },
      body,
    };
  }
  if (outcome.kind === 'cancelled') return { message: shared, body: NO_BODY };
  const isFull = outcome.kind === 'declined' ? { isFull: outcome.isFull } : {};
  return { message: { ...shared, ...isFull, reason: outcome.reason }, body: NO_BODY };
}

/** The result in a message from the dispatcher `via`. */
export function toResult({ message, body }: Framed<DispatchOutcomeMessage>, via: string): DispatchResult {
  const { replica, hasEndedReplica: hasCrashedReplica, retryAfterMs, room: capacity } = message;
  return { outcome: toOutcome(message, body), replica, hasCrashedReplica, retryAfterMs, capacity, via };
}

/** Optional fields that are missing get the value that promises least. */
function toOutcome(message: DispatchOutcomeMessage, body: Buffer): AttemptOutcome {
  const {
    kind,
    reason = '',
    isFull = true,
    status = 502,
    headers = {},
    signature,
    isFramed = true,
  } = message;
  if (kind === 'answered') return { kind, answer: { status, headers, signature, isFramed, body } };
  if (kind === 'declined') return { kind, reason, isFull };
  return kind === 'unknown' ? { kind, reason } : { kind };
}
