/**
 * Admission control: admits or rejects arriving requests, expires queued ones, limits requeues and hedges,
 * and computes Retry-After. Requests that cannot meet their deadline are rejected before they run.
 */

/**
 * Inputs of `admit`. Times in milliseconds; work is the expected service time at a replica of average speed.
 */
export interface AdmissionInput extends RetryAfterInput {
  /** Whether a replica is available, including those that the request was already sent to. */
  readonly hasReplica: boolean;
  /** Whether a slot is free and the queue is empty. */
  readonly hasFreeSlot: boolean;
  /** Work of the queued requests ahead of this one. */
  readonly queuedAheadMs: number;
  /**
   * Lower bound of the time until a slot becomes free (`slotWaitMs`); 0 if one is free or the time is
   * unknown.
   */
  readonly slotWaitMs: number;
}

/** Inputs of `retryAfterMs`. Times in milliseconds. */
export interface RetryAfterInput {
  /** Work of all queued requests. */
  readonly queuedMs: number;
  /** Work that the replicas complete per millisecond. */
  readonly drainPerMs: number;
  /** Expected service time of the request. */
  readonly serviceTimeMs: number;
  /** Time until the deadline of the request. */
  readonly remainingMs: number;
}

/** Why a request was rejected. A rejected request has not run. */
export type RejectionReason =
  | 'no-replica'
  | 'deadline-unreachable'
  | 'queue-full'
  | 'retry-budget-exhausted'
  | 'no-slot-for-hedge'
  | 'route-removed'
  | 'job-ended'
  | 'job-unconfirmed'
  | 'dispatcher-leaving';

/** A rejection. Logs and callers get its `rejectionText`. */
export interface Rejection {
  readonly kind: 'reject';
  readonly reason: RejectionReason;
  /** Milliseconds; 0 if the response carries no Retry-After. */
  readonly retryAfterMs: number;
  /** Expected wait for a slot, milliseconds, if that is the reason. */
  readonly expectedWaitMs?: number;
}

export type AdmissionDecision = { readonly kind: 'admit' } | Rejection;

/** Lower bound of Retry-After, milliseconds; in less time little of the queue has drained. */
const MIN_RETRY_AFTER_MS = 50;
/** Upper bound of Retry-After as a fraction of the remaining time, so that a retry still has time to run. */
const MAX_RETRY_AFTER_FRACTION = 1 / 3;
/** Largest jitter of Retry-After, as a fraction of it; spreads the retries. */
const RETRY_AFTER_JITTER = 0.5;
/** A queued request expires when its remaining time is below this fraction of its service time. */
const MIN_SERVICE_FRACTION = 0.5;
/** Declines after which a request is no longer requeued. Each decline also makes its replica back off. */
const MAX_DECLINES = 16;
/**
 * Hedges are sent only while at least this fraction of the slots is free, since first attempts take
 * precedence.
 */
const MIN_FREE_SLOT_FRACTION_FOR_HEDGE = 0.1;

const REJECTION_TEXTS: Readonly<Record<RejectionReason, string>> = {
  'no-replica': 'no replica is available',
  'deadline-unreachable': 'the deadline cannot be met',
  'queue-full': 'the queue is full',
  'retry-budget-exhausted': 'the retry budget is exhausted',
  'no-slot-for-hedge': 'too few free slots for a hedge',
  'route-removed': 'the configuration no longer routes the request to this service',
  'job-ended': 'the job of the request has ended',
  'job-unconfirmed': 'the store has not confirmed recently that the job of the request is open',
  'dispatcher-leaving': 'this node is leaving',
};

/**
 * Decides whether an arriving request is admitted. A request that finds a free slot always is, since
 * otherwise an overestimated service time would never be corrected. `random` is in [0, 1).
 */
export function admit(input: AdmissionInput, random: number): AdmissionDecision {
  if (!input.hasReplica)
    return { kind: 'reject', reason: 'no-replica', retryAfterMs: retryAfterMs(input, random) };
  if (input.hasFreeSlot) return { kind: 'admit' };
  const queueWaitMs = input.queuedAheadMs / Math.max(input.drainPerMs, Number.EPSILON);
  const expectedWaitMs = Math.max(queueWaitMs, input.slotWaitMs);
  if (expectedWaitMs + input.serviceTimeMs <= input.remainingMs) return { kind: 'admit' };
  const reason = 'deadline-unreachable';
  return { kind: 'reject', reason, expectedWaitMs, retryAfterMs: retryAfterMs(input, random) };
}

/**
 * Whether a queued request should be rejected because, after the wait for a slot, less than `marginMs` or
 * half of its service time remains. More lenient than `admit`, since the service time is an estimate.
 */
export function isDeadlineUnreachable(
  {
    remainingMs,
    slotWaitMs,
    serviceTimeMs,
  }: Pick<AdmissionInput, 'remainingMs' | 'slotWaitMs' | 'serviceTimeMs'>,
  marginMs: number,
): boolean {
  return remainingMs - slotWaitMs < Math.max(marginMs, serviceTimeMs * MIN_SERVICE_FRACTION);
}

/** Whether a hedge may take a slot. Hedges are never queued and also need retry budget. */
export function mayHedge({ free, slots, waiting }: Record<'free' | 'slots' | 'waiting', number>): boolean {
  return waiting === 0 && free >= slots * MIN_FREE_SLOT_FRACTION_FOR_HEDGE;
}

/** Whether a request that a replica declined is requeued. `declines` includes the latest decline. */
export function mayRequeue(declines: number, isHedge: boolean, isCancelled: boolean): boolean {
  return !isHedge && !isCancelled && declines < MAX_DECLINES;
}

/**
 * Retry-After of a rejected request, milliseconds: the time to drain the queue plus the service time of the
 * request, with jitter, limited to a fraction of the remaining time. `random` is in [0, 1).
 */
export function retryAfterMs(input: RetryAfterInput, random: number): number {
  const queueDrainMs = input.queuedMs / Math.max(input.drainPerMs, Number.EPSILON);
  const jitteredMs =
    Math.max(MIN_RETRY_AFTER_MS, queueDrainMs + input.serviceTimeMs) * (1 + RETRY_AFTER_JITTER * random);
  return Math.max(
    MIN_RETRY_AFTER_MS * (1 + random),
    Math.min(jitteredMs, input.remainingMs * MAX_RETRY_AFTER_FRACTION),
  );
}

/** Describes a rejection in log lines and in the response. */
export function rejectionText({ reason, expectedWaitMs }: Rejection): string {
  const wait = expectedWaitMs ? `: expected wait for a slot ${Math.round(expectedWaitMs)} ms` : '';
  return REJECTION_TEXTS[reason] + wait;
}
