/**
 * Admission control: whether a request may queue for a slot, when a queued one is rejected, when a declined
 * one is queued again, whether a hedge may be sent, and Retry-After. What cannot meet its deadline is
 * rejected before it runs.
 *
 * Pure decisions: time and randomness are arguments. They rest on estimates of service time and drain rate;
 * where these are wrong a request is rejected while it waits (`isDeadlineUnreachable`).
 */

/** Inputs of admission control. Times in milliseconds; work is expected time at a replica of usual speed. */
export interface AdmissionInput extends RetryAfterInput {
  /** Whether a replica is available; one that the request was sent to before counts. */
  readonly hasReplica: boolean;
  /** Whether a slot is free and no other request waits for it. */
  readonly hasFreeSlot: boolean;
  /** Work of the queued requests that are served before it. */
  readonly queuedAheadMs: number;
  /** Least expected time until a slot becomes free (`slotWaitMs`); 0 where one is free or it is unknown. */
  readonly slotWaitMs: number;
}

/** Inputs of Retry-After. Times in milliseconds. */
export interface RetryAfterInput {
  /** Work of all queued requests. */
  readonly queuedMs: number;
  /** Work that the replicas finish in a millisecond. */
  readonly drainPerMs: number;
  /** Expected service time of the request. */
  readonly serviceTimeMs: number;
  /** Time until its deadline. */
  readonly remainingMs: number;
}

/** Why a request was rejected. It has not run. */
export type RejectionReason =
  | 'no-replica'
  | 'deadline-unreachable'
  | 'queue-full'
  | 'retry-budget-exhausted'
  | 'no-slot-for-hedge'
  | 'route-removed'
  | 'dispatcher-leaving';

/** A rejection; the log line's `reason` is its `rejectionText`. */
export interface Rejection {
  readonly kind: 'reject';
  readonly reason: RejectionReason;
  /** Milliseconds; 0 where the caller is given none. */
  readonly retryAfterMs: number;
  /** Expected wait for a slot, milliseconds, where it is the reason. */
  readonly expectedWaitMs?: number;
}

export type AdmissionDecision = { readonly kind: 'admit' } | Rejection;

/** Least Retry-After, milliseconds. Chosen, not measured: sooner than that little work has drained. */
const MIN_RETRY_AFTER_MS = 50;
/** Largest Retry-After as a share of the remaining time. Chosen, not measured: leaves time to run. */
const MAX_RETRY_AFTER_FRACTION = 1 / 3;
/** Retry-After is lengthened at random by up to this share, to spread retries. Chosen, not measured. */
const RETRY_AFTER_JITTER = 0.5;
/** Least remaining time of a queued request, as a share of its service time. Chosen, not measured. */
const MIN_SERVICE_FRACTION = 0.5;
/**
 * Declines after which a request is returned as declined; each makes its replica back off. Chosen, not
 * measured: at 4, requests with time left were rejected while two nodes dispatched for one service.
 */
const MAX_DECLINES = 16;
/** Free share of slots below which no hedge is sent: first attempts go first. Chosen, not measured. */
const MIN_FREE_SLOT_FRACTION_FOR_HEDGE = 0.1;

const REJECTION_TEXTS: Readonly<Record<RejectionReason, string>> = {
  'no-replica': 'no replica is available',
  'deadline-unreachable': 'the deadline cannot be met',
  'queue-full': 'the queue is full',
  'retry-budget-exhausted': 'the retry budget is exhausted',
  'no-slot-for-hedge': 'too few free slots for a hedge',
  'route-removed': 'the configuration no longer routes it to this service',
  'dispatcher-leaving': 'this node is leaving',
};

/**
 * Decides on a request at its arrival. One that finds a free slot is always admitted: else an overestimated
 * service time would never be corrected. `random` is in [0, 1).
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
 * Whether a queued request is to be rejected: after the wait for a slot less than `marginMs` or half of its
 * service time would be left. More lenient than `admit`, since the estimate may be wrong.
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

/** Whether a hedge may take a slot; it never queues. The retry budget must allow it as well. */
export function mayHedge({ free, slots, waiting }: Record<'free' | 'slots' | 'waiting', number>): boolean {
  return waiting === 0 && free >= slots * MIN_FREE_SLOT_FRACTION_FOR_HEDGE;
}

/**
 * Whether a request that a replica has declined is queued again. `declines` counts the last one as well;
 * hedges never queue, and a cancelled request needs no further attempt.
 */
export function mayRequeue(declines: number, isHedge: boolean, isCancelled: boolean): boolean {
  return !isHedge && !isCancelled && declines < MAX_DECLINES;
}

/**
 * Retry-After of a rejected request, milliseconds: once the queue has drained and the request's own service
 * time has passed, with jitter, within a share of the remaining time. `random` is in [0, 1).
 */
export function retryAfterMs(input: RetryAfterInput, random: number): number {
  const drainedMs = input.queuedMs / Math.max(input.drainPerMs, Number.EPSILON);
  const spreadMs =
    Math.max(MIN_RETRY_AFTER_MS, drainedMs + input.serviceTimeMs) * (1 + RETRY_AFTER_JITTER * random);
  return Math.max(
    MIN_RETRY_AFTER_MS * (1 + random),
    Math.min(spreadMs, input.remainingMs * MAX_RETRY_AFTER_FRACTION),
  );
}

/** Text of a rejection, for log lines and for the caller. */
export function rejectionText({ reason, expectedWaitMs }: Rejection): string {
  const wait = expectedWaitMs ? `: expected wait for a slot ${Math.round(expectedWaitMs)} ms` : '';
  return REJECTION_TEXTS[reason] + wait;
}
