/** A request in the queue of a service with its call, from arrival to result. */
import { monotonicMs } from '../../../common/clock.js';
import type { QueuedRequest } from '../../../state/service/admission/index.js';
import type { DispatchCall, DispatchResult } from './dispatch-call.js';

export interface QueueEntry extends QueuedRequest {
  readonly call: DispatchCall;
  /** Ids of replicas that it is not sent to. Cleared when no other replica is available. */
  readonly excluded: Set<string>;
  /** Number of declines by replicas. */
  declines: number;
  /** Reason of the last decline, empty if there was none. */
  lastDecline: string;
  readonly resolve: (result: DispatchResult) => void;
  /** Abort listener of the call's signal, attached while the request is queued. */
  readonly onAbort: () => void;
}

/** Fields of an entry that are not taken from its call. */
export interface QueueEntryInput extends Pick<QueueEntry, 'serviceTimeMs' | 'resolve'> {
  /** Ids of replicas at which another attempt of the request is running. */
  readonly runningAt: Iterable<string>;
  readonly onAbort: (entry: QueueEntry) => void;
}

/** Creates the entry of a call that arrives now. */
export function toQueueEntry(
  call: DispatchCall,
  { runningAt, onAbort, ...fields }: QueueEntryInput,
): QueueEntry {
  const { priority, flow, isBackground, targetAtMs, deadlineMs } = call;
  const entry: QueueEntry = {
    ...fields,
    call,
    priority,
    flow,
    isBackground,
    targetAtMs,
    deadlineMs,
    sinceMs: monotonicMs(),
    bytes: call.request.body.length,
    excluded: new Set([...call.excluded, ...runningAt]),
    declines: 0,
    lastDecline: '',
    onAbort: () => onAbort(entry),
  };
  return entry;
}
