/**
 * Incarnations of a replica. A replica may restart under its id; it then holds nothing of before, so what is
 * known of one incarnation says nothing of another. The id and the time of the start identify it.
 */

export interface ReplicaIncarnation {
  readonly id: string;
  /** Start by the replica's own time of day, milliseconds since 1970, where it is announced. */
  readonly startedAtMs: number | undefined;
}

/** How an announced incarnation compares with the known one. */
export type IncarnationOrder =
  | 'same'
  /** It follows the known one, which has ended. */
  | 'next'
  /** An earlier start: a late announcement, or a clock that was set back (`replica-announcements.ts`). */
  | 'earlier'
  /** It names no start, though the known one did. */
  | 'start-missing';

export function compareIncarnations(
  known: ReplicaIncarnation,
  announced: ReplicaIncarnation,
): IncarnationOrder {
  if (known.startedAtMs === announced.startedAtMs) return 'same';
  if (announced.startedAtMs === undefined) return 'start-missing';
  if (known.startedAtMs === undefined) return 'next';
  return announced.startedAtMs > known.startedAtMs ? 'next' : 'earlier';
}
