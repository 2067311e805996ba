/**
 * Pause of an item after replicas crashed while running it, so that one item cannot crash the replicas of a
 * service at full speed. An item is never quarantined: it is due, and crashes for other reasons are likelier.
 */
import { exponentialBackoffMs } from '../../../common/backoff.js';

/** First and longest pause, milliseconds. Doubles with each crash without new events. */
const INITIAL_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 1_000;

export class CrashBackoff {
  private crashes = 0;

  /** Records the end of an attempt. Returns the pause before the next one, milliseconds. */
  recordAttempt(hasCrashed: boolean, hasMadeEvents: boolean): number {
    if (hasMadeEvents) this.crashes = 0;
    if (!hasCrashed || hasMadeEvents) return 0;
    this.crashes += 1;
    return exponentialBackoffMs(INITIAL_BACKOFF_MS, this.crashes - 1, MAX_BACKOFF_MS);
  }
}
