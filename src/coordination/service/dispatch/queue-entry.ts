/** A request in the queue of a service, from its arrival to its result. */
import { monotonicMs } from '../../../common/clock.js';
import type { QueuedRequest } from '../../../state/service/admission/index.js';
import type { DispatchCall, DispatchResult } from './dispatch-call.js';

export interface QueueEntry extends QueuedRequest {
  readonly call: DispatchCall;
  /** Replicas that it is not sent to, by id; emptied when no other replica is available. */
  readonly excluded: Set<string>;
  /** Declines by replicas so far, and the reason of the last one. */
  declines: number;
  lastDecline: string;
  readonly resolve: (result: DispatchResult) => void;
  /** Listens to the call's signal while the request is queued. */
  readonly onAbort: () => void;
}

/** What an entry is made of besides its call. */
export interface QueueEntryInput extends Pick<QueueEntry, 'serviceTimeMs' | 'resolve'> {
  /** Replicas at which another attempt of the request runs. */
  readonly runningAt: Iterable<string>;
  readonly onAbort: (entry: QueueEntry) => void;
}

/** The entry of a call that arrives now. */
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
