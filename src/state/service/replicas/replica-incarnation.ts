/**
 * Lives of a replica. A replica may start again under the id that it had; it then holds and knows nothing of before, so what is
 * believed of one life says nothing of another. A life is told by the id and the moment of its start.
 */

/** What tells the lives of replicas apart. */
export interface ReplicaIncarnation {
  readonly id: string;
  /** When this life began, by the replica's own time of day, milliseconds since 1970; `undefined` where it doesn't say. */
  readonly startedAtMs: number | undefined;
}

/** How a life that was heard of stands to the one that is known. */
export type IncarnationOrder =
  | 'same'
  /** The known life has ended. */
  | 'next'
  /**
   * It says that it began before the known one. Either its word is late, or the time of day was set back between the two
   * starts; which of them it is shows only later (`replica-announcements.ts`).
   */
  | 'earlier'
  /** It does not say when it began, though the known one did. */
  | 'untold';

/** Compares two lives of one replica. */
export function compareIncarnations(known: ReplicaIncarnation, heard: ReplicaIncarnation): IncarnationOrder {
  if (known.startedAtMs === heard.startedAtMs) return 'same';
  if (heard.startedAtMs === undefined) return 'untold';
  if (known.startedAtMs === undefined) return 'next';
  return heard.startedAtMs > known.startedAtMs ? 'next' : 'earlier';
}
