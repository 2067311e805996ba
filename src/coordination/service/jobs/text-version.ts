/**
 * Decides where a text may continue whose events must all be of one weight version. Only replicas with that version
 * can continue it, and a replica that has loaded another one never has it again. Where none has it, or those that
 * have it do not take the item in time, the text begins anew at a replica with another version.
 */
import { monotonicMs } from '../../../common/clock.js';
import type { ReplicaState } from '../../../state/service/replicas/index.js';
import type { SampleText } from '../generation/index.js';

/** Time for which a text waits for a replica that has its version and is full, ejected or loading. */
const MAX_VERSION_WAIT_MS = 1_000;

export class TextVersion {
  /** Versions that replicas declined though they had announced them, by replica. */
  private readonly declined = new WeakMap<ReplicaState, number>();
  private waitsSinceMs: number;

  constructor(
    private readonly model: string,
    private readonly text: Pick<SampleText, 'versions'>,
    private readonly now: () => number = monotonicMs,
  ) {
    this.waitsSinceMs = now();
  }

  /** Whether the text can be continued at a replica, as far as is known, and need not begin anew yet. */
  allowsContinuationAt(state: ReplicaState): boolean {
    if (this.now() - this.waitsSinceMs > MAX_VERSION_WAIT_MS) return false;
    return this.matches(state);
  }

  /** Whether the text must begin anew at a replica that was chosen for it. */
  mustRestartAt(state: ReplicaState): boolean {
    return this.text.versions.length > 0 && !this.matches(state);
  }

  /** Records that a replica declined the version of the text, or left it. */
  recordMismatch(state: ReplicaState): void {
    const [version] = this.text.versions;
    if (version !== undefined) this.declined.set(state, version);
  }

  /** Records that the text has got events, or begins anew. */
  recordProgress(): void {
    this.waitsSinceMs = this.now();
  }

  private matches(state: ReplicaState): boolean {
    const [version, ...others] = this.text.versions;
    if (others.length > 0 || this.declined.get(state) === version) return false;
    return version === state.versionOf(this.model);
  }
}
