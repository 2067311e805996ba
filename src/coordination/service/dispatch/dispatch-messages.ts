/**
 * Converts calls and results to and from messages (`dispatch-peer.ts`). Fields whose wire name differs:
 * - `rank`: priority, `party`: flow, `isPatient`: background, `isExtra`: hedge
 * - `aimMs`, `leftMs`: time until the latency target and the deadline, relative since monotonic clocks differ
 * - `isServed`: whether the store answers the calling node
 * - `hasEndedReplica`: whether the replica crashed, `isClosed`: dispatcher is leaving, `room`: capacity
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

/** What a node knows of the store when it sends a call. */
export interface SenderState {
  /** Whether the store answers the node. */
  readonly isStoreAnswering: boolean;
  /** Latest time now on the clock of the store, milliseconds; `undefined` while unknown. */
  readonly storeTimeMs: number | undefined;
}

export function toMessage(
  call: DispatchCall,
  { isStoreAnswering, storeTimeMs }: SenderState,
): Framed<DispatchMessage> {
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
      ...(call.jobId === undefined ? {} : { jobId: call.jobId }),
      ...(storeTimeMs === undefined ? {} : { sentAtMs: storeTimeMs }),
    },
    body,
  };
}

/** Converts the message of another node to a call. `signal` aborts it. */
export function toCall(
  { message, body }: Framed<DispatchMessage>,
  transitMs: number | undefined,
  signal: AbortSignal,
): DispatchCall {
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
    jobId,
    sentAtMs: _sentAtMs,
    ...request
  } = message;
  const asOfMs = monotonicMs() - (transitMs ?? 0);
  return {
    service,
    workKind,
    request: { ...request, body },
    priority,
    flow,
    isBackground,
    isHedge,
    isRetry,
    targetAtMs: asOfMs + aimMs,
    deadlineMs: asOfMs + leftMs,
    excluded: new Set(excluded),
    configVersion,
    jobId,
    transitMs,
    signal,
  };
}

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

/** Converts a message from the dispatcher `via` to a result. */
export function toResult({ message, body }: Framed<DispatchOutcomeMessage>, via: string): DispatchResult {
  const { replica, hasEndedReplica: hasCrashedReplica, retryAfterMs, room: capacity } = message;
  return { outcome: toOutcome(message, body), replica, hasCrashedReplica, retryAfterMs, capacity, via };
}

/** Missing optional fields get conservative defaults. */
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
