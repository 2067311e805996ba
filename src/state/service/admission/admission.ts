/**
 * Whether a request may wait for a place, and when one that may not should come back. It answers loads beyond the room: what cannot
 * be served in its time is refused while it has not run, at once, rather than kept until its caller gives up.
 *
 * Pure decisions: time and chance are passed in.
 */

/** What the decision looks at. */
export interface AdmissionTerms {
  /** Usual time of the requests that go before it, and of all that wait, milliseconds. */
  readonly queuedAheadMs: number;
  readonly queuedMs: number;
  /** Usual time of requests that the replicas end in a millisecond. */
  readonly drainPerMs: number;
  /** Least expected time until a replica frees a slot, milliseconds; 0 where a slot is free or nothing is known. */
  readonly slotWaitMs: number;
  /** Whether a place is free that it could have now. */
  readonly hasFreeSlot: boolean;
  /** Time that it takes once it runs, milliseconds. */
  readonly serviceTimeMs: number;
  /** Time until its caller gives up, milliseconds. */
  readonly remainingMs: number;
}

/** What follows for the request. */
export type Admission =
  | { readonly kind: 'admitted'; readonly expectedWaitMs: number }
  | { readonly kind: 'refused'; readonly retryAfterMs: number };

/** Callers come back after this time at least, milliseconds: sooner the room is not seen to change. */
const MIN_RETRY_AFTER_MS = 50;
/** Callers heed a time to come back up to this part of the time that they have left. */
const MAX_RETRY_AFTER_FRACTION = 1 / 3;
/** Times to come back are spread over this part of themselves, so that those who are refused together don't come together. */
const RETRY_AFTER_JITTER = 0.5;

/**
 * Decides on a request. While a place is free it is never refused: what is known of its time may be wrong, and would stay so if
 * none of its kind ran.
 */
export function admit(terms: AdmissionTerms, chance: number): Admission {
  if (terms.hasFreeSlot) return { kind: 'admitted', expectedWaitMs: 0 };
  const queueWaitMs = terms.queuedAheadMs / Math.max(terms.drainPerMs, Number.EPSILON);
  const expectedWaitMs = Math.max(queueWaitMs, terms.slotWaitMs);
  if (expectedWaitMs + terms.serviceTimeMs <= terms.remainingMs) return { kind: 'admitted', expectedWaitMs };
  return { kind: 'refused', retryAfterMs: retryAfterMs(terms, chance) };
}

/**
 * When a request that is refused should come back, milliseconds: once those that wait now are served, and not all at once; within
 * what callers heed. `chance` lies between 0 and 1.
 */
export function retryAfterMs(terms: AdmissionTerms, chance: number): number {
  const drainedMs = terms.queuedMs / Math.max(terms.drainPerMs, Number.EPSILON);
  const spreadMs =
    Math.max(MIN_RETRY_AFTER_MS, drainedMs + terms.serviceTimeMs) * (1 + RETRY_AFTER_JITTER * chance);
  return Math.max(
    MIN_RETRY_AFTER_MS * (1 + chance),
    Math.min(spreadMs, terms.remainingMs * MAX_RETRY_AFTER_FRACTION),
  );
}
