/** What an attempt to generate a sample must respect, and how it can end. */

/** How fast an attempt generates. */
export interface AttemptPace {
  /** Mean time of the last events, the silence since then included, milliseconds. */
  readonly eventMs: number;
}

/** Terms of an attempt. */
export interface GenerationOptions {
  readonly host: string;
  /** Tenant on whose behalf it runs, if any. */
  readonly tenant?: string;
  readonly model: string;
  /** Oldest weight version that may generate an event. */
  readonly minVersion: number;
  readonly isSingleVersion: boolean;
  /** Time that the replica may work on it, milliseconds. */
  readonly remainingMs: number;
  /** Longest time without data before the attempt is broken off, milliseconds. */
  readonly stallMs: number;
  /** Why another replica would finish sooner than this one at `pace`, if one would. Called repeatedly. */
  readonly reasonToMove: (pace: AttemptPace) => string | undefined;
  /** Called when the replica has accepted the request. */
  readonly onAccepted: () => void;
  /** Called with the weight version of each event. */
  readonly onVersion: (version: number) => void;
  readonly signal: AbortSignal;
}

/**
 * How an attempt ended. Events received before stay in the text, and another attempt continues after them.
 */
export type GenerationOutcome =
  | { readonly kind: 'whole' }
  /** Certainly not run. */
  | { readonly kind: 'declined'; readonly reason: string; readonly isFull: boolean }
  /** The replica failed the request: counts against the attempts of the item. */
  | { readonly kind: 'failed'; readonly reason: string }
  /** No replica can ever run it. */
  | { readonly kind: 'impossible'; readonly reason: string }
  /** The replica's weights are too old, or differ where a single version is required. */
  | { readonly kind: 'wrong-version'; readonly reason: string }
  /** The stream broke. */
  | {
      readonly kind: 'broken';
      readonly reason: string;
      /** Whether the connection was lost, as when the replica crashes. */
      readonly isConnectionLost?: boolean;
    }
  /** Broken off by this node, to continue at a faster replica. */
  | { readonly kind: 'moved'; readonly reason: string }
  | { readonly kind: 'cancelled' };
