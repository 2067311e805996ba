/**
 * Incarnations of a replica. A replica that restarts keeps its id but not its state, so statistics and
 * requests belong to one incarnation. It is identified by the id and the start time.
 */

export interface ReplicaIncarnation {
  readonly id: string;
  /**
   * Start time by the replica's own clock, milliseconds since the Unix epoch; `undefined` if not announced.
   */
  readonly startedAtMs: number | undefined;
}

/** Order of an announced incarnation relative to the known one. */
export type IncarnationOrder =
  | 'same'
  /** It started later; the known incarnation has ended. */
  | 'next'
  /**
   * It started earlier: a delayed announcement, or a clock that was set back (`replica-announcements.ts`).
   */
  | 'earlier'
  /** It has no start time, but the known incarnation has one. */
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
