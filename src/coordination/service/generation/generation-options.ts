/** Options and outcomes of an attempt to generate a sample. */

export interface AttemptPace {
  /** Mean interval of the most recent events, including the time since the last one, milliseconds. */
  readonly eventMs: number;
}

export interface GenerationOptions {
  readonly host: string;
  /** Tenant on whose behalf the attempt runs, if any. */
  readonly tenant?: string;
  readonly model: string;
  /** Oldest weight version that may generate an event. */
  readonly minVersion: number;
  /** Whether all events of the sample must have the same weight version. */
  readonly isSingleVersion: boolean;
  /** Time that the replica may spend on the request, milliseconds. */
  readonly remainingMs: number;
  /** Time without an event after which the attempt is aborted, milliseconds. */
  readonly stallMs: number;
  /** Why the sample should move to another replica, given the pace at this one; called periodically. */
  readonly reasonToMove: (pace: AttemptPace) => string | undefined;
  readonly onAccepted: () => void;
  /** Called with the replica's version for each event, and when it declines another version. */
  readonly onVersion: (version: number) => void;
  readonly signal: AbortSignal;
}

/** How an attempt ended. Events appended to the text stay, and another attempt continues after them. */
export type GenerationOutcome =
  /** The text is complete. */
  | { readonly kind: 'whole' }
  /** The replica did not run the request; `isFull`: for lack of a free slot. */
  | { readonly kind: 'declined'; readonly reason: string; readonly isFull: boolean }
  /**
   * The replica's weights are not of the version of the earlier events, which must be the only one; nothing was
   * appended from them.
   */
  | { readonly kind: 'version-mismatch'; readonly reason: string }
  /** The replica reported a failure, which counts against the attempts of the item. */
  | { readonly kind: 'failed'; readonly reason: string }
  /** No replica can ever run the request. */
  | { readonly kind: 'impossible'; readonly reason: string }
  /** The weights are older than the minimum version. */
  | { readonly kind: 'wrong-version'; readonly reason: string }
  /** The stream was interrupted, stalled or invalid. */
  | {
      readonly kind: 'broken';
      readonly reason: string;
      /** Whether the connection was lost, which may be due to a crash of the replica. */
      readonly isConnectionLost?: boolean;
    }
  /** Aborted by this node, to continue at a faster replica. */
  | { readonly kind: 'moved'; readonly reason: string }
  | { readonly kind: 'cancelled' };
