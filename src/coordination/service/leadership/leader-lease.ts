/**
 * Leader lease of a singleton task, such as commanding weight loads: at most one node acts.
 *
 * Owns: this node's view of the lease record and its epoch, which is the fencing token. Before each action
 * the record is written, conditional on its version; an action may begin only while that confirmation is
 * fresh. The record names the targets of recent actions and when each had begun at the latest: a successor
 * acts at once on all targets but those on which another machine may have acted within the handover guard.
 * Relies on: the store (conditional writes, its clock), the session monitor (loss of the leader). Without the
 * store nothing is confirmed, so nobody acts.
 */
import { ConditionVariable } from '../../../common/condition-variable.js';
import type { DecisionLogger } from '../../../common/decision-logger.js';
import { SYSTEM_TIME, startStopwatch, type TimeSources } from '../../../common/elapsed-time.js';
import type { RecordAddress, RecordStore, StoredRecord } from '../../../protocol/record-store.js';
import type { OwnerReference } from '../../../state/service/jobs/index.js';
import type { SessionMonitor } from '../membership/index.js';
import {
  ABSENT_LEASE,
  type LeaseContent,
  leaseAddress,
  NO_HOLDER,
  parseLease,
  type VersionedLease,
} from './lease-record.js';
import { acquisitionReason, confirmationValidityMs, guardedActions, isTakenOver } from './lease-rules.js';
import { addActions, isUnguarded, type RecentAction } from './recent-actions.js';

/** A confirmed right to act once. */
export interface LeaseConfirmation {
  /** Fencing token. */
  readonly epoch: number;
  /** Whether an action may still begin under it. Ask right before the action. */
  isFresh(): boolean;
}

/** Actions that begin together and share one confirmation. */
interface Batch {
  readonly targets: Set<string>;
  readonly confirmation: Promise<LeaseConfirmation | undefined>;
}

/** One lease as one node sees it. It is read together with the heartbeats of sessions. */
export class LeaderLease {
  private lastKnown: VersionedLease | undefined;
  /** When this epoch's holder was first seen, on the session monitor's observed time, milliseconds. */
  private holderSeenAtMs = 0;
  /** 0 while the lease is not held. */
  private heldEpoch = 0;
  private isAcquiring = false;
  private readonly acquired = new ConditionVariable();
  /** Actions whose confirmation has not been requested yet. */
  private batch: Batch | undefined;
  /** Resolves when the confirmation requested last is answered. */
  private lastConfirmation: Promise<unknown> = Promise.resolve();
  private readonly address: RecordAddress;

  constructor(
    private readonly store: RecordStore,
    private readonly task: string,
    private readonly self: OwnerReference,
    private readonly sessions: SessionMonitor,
    /** Time between actions of leaders on two machines on one target, milliseconds. */
    private readonly handoverGuardMs: () => number,
    private readonly logger: DecisionLogger,
    private readonly time: TimeSources = SYSTEM_TIME,
  ) {
    this.address = leaseAddress(task);
  }

  /** Whether this node believes that it holds the lease. */
  get isHeld(): boolean {
    return this.heldEpoch > 0;
  }

  /** Fencing token: rises with each change of the holder; 0 while this node does not hold the lease. */
  get epoch(): number {
    return this.heldEpoch;
  }

  /** Last known holder. */
  get holder(): OwnerReference | undefined {
    const holder = this.lastKnown?.content.holder;
    return holder?.node ? holder : undefined;
  }

  /** Resolves while the lease is held, or when `signal` is aborted. */
  async waitUntilHeld(signal: AbortSignal): Promise<void> {
    while (!this.isHeld && !signal.aborted) await this.acquired.wait(signal);
  }

  /** Notes the records that were read; acquires the lease if wanted, and free or its holder lost. */
  observe(records: readonly StoredRecord[], wantsLease: boolean): void {
    this.applyRecord(records.find((record) => record.key === this.address.key));
    if (!this.isHeld && wantsLease && !this.isAcquiring) void this.tryAcquire();
  }

  /** Releases the lease. If the write fails, a successor waits until this node counts as lost. */
  async release(): Promise<void> {
    if (!this.isHeld || !this.lastKnown) return;
    const { content, version } = this.lastKnown;
    this.heldEpoch = 0;
    await this.write(version, { ...content, holder: NO_HOLDER });
    this.logChange('resigned');
  }

  /** Whether no other machine may have acted on `target` within the handover guard. */
  allowsAction(target: string): boolean {
    return isUnguarded(this.guardedActions, target, this.self.node);
  }

  /**
   * Has the store confirm the lease before an action on `target`; `undefined` when it does not. After a
   * suspension of the machine the confirmation is older than the monotonic clock says, and the estimate of
   * the store's clock is behind until the store has answered: freshness takes both into account, so no action
   * begins later than its record says.
   */
  confirm(target: string): Promise<LeaseConfirmation | undefined> {
    this.batch ??= this.openBatch();
    this.batch.targets.add(target);
    return this.batch.confirmation;
  }

  /** Collects targets until the previous request is answered and this turn of the event loop is over. */
  private openBatch(): Batch {
    const targets = new Set<string>();
    const confirmation = this.lastConfirmation.then(() => {
      this.batch = undefined;
      return this.requestConfirmation(targets);
    });
    this.lastConfirmation = confirmation;
    return { targets, confirmation };
  }

  private async requestConfirmation(targets: ReadonlySet<string>): Promise<LeaseConfirmation | undefined> {
    if (!this.isHeld || !this.lastKnown) return undefined;
    const { content, version } = this.lastKnown;
    const answerMs = this.store.averageLatencyMs();
    const validMs = confirmationValidityMs(answerMs);
    const elapsed = startStopwatch(this.time);
    const begunByMs = Math.round(this.store.nowMs() + answerMs + validMs);
    const { node } = this.self;
    const actions = [...targets].map((target) => ({ target, node, begunByMs }));
    const recent = addActions(this.guardedActions, actions);
    if (!(await this.write(version, { ...content, acts: content.acts + 1, validMs, recent })))
      return undefined;
    const isWithinRecordedTime = () => this.store.nowMs() <= begunByMs;
    return { epoch: content.epoch, isFresh: () => elapsed() < validMs && isWithinRecordedTime() };
  }

  private get guardedActions(): readonly RecentAction[] {
    return this.lastKnown
      ? guardedActions(this.lastKnown.content, this.store.nowMs(), this.handoverGuardMs())
      : [];
  }

  private applyRecord(record: StoredRecord | undefined): void {
    if (!record) {
      this.lastKnown ??= ABSENT_LEASE;
      return;
    }
    if (this.lastKnown && this.lastKnown.version >= record.version) return;
    const content = parseLease(record);
    const previous = this.lastKnown?.content;
    if (previous?.epoch !== content.epoch) this.holderSeenAtMs = this.sessions.observedTimeMs;
    this.lastKnown = { content, version: record.version };
    if (this.isHeld && isTakenOver(content, this.self, this.heldEpoch))
      this.handleLoss(`taken by ${content.holder.node}`);
  }

  private async tryAcquire(): Promise<void> {
    if (!this.lastKnown) return;
    const { holder } = this.lastKnown.content;
    const isLost = () => this.sessions.isLost(holder, this.holderSeenAtMs);
    const reason = acquisitionReason(holder, this.self, isLost);
    if (reason !== undefined) await this.acquire(reason);
  }

  private async acquire(reason: string): Promise<void> {
    if (!this.lastKnown) return;
    const { content, version } = this.lastKnown;
    this.isAcquiring = true;
    const recent = this.guardedActions;
    const epoch = content.epoch + 1;
    const isWritten = await this.write(version, { holder: this.self, epoch, acts: 0, validMs: 0, recent });
    this.isAcquiring = false;
    if (!isWritten) return;
    this.heldEpoch = epoch;
    this.sessions.notifyHolding();
    this.acquired.notifyAll();
    const otherActions = recent.filter((action) => action.node !== this.self.node);
    this.logChange('taken', `${reason}, ${otherActions.length} targets must wait`);
  }

  /** Whether the record was written. Without an answer it counts as not; the next scan shows which. */
  private async write(version: number, content: LeaseContent): Promise<boolean> {
    const value = Buffer.from(JSON.stringify(content), 'utf8');
    const outcome = await this.store.transact({
      conditions: [{ ...this.address, version }],
      writes: [{ ...this.address, value }],
      removals: [],
    });
    if (outcome.isErr()) {
      this.applyRecord(outcome.error.current.find((record) => record.key === this.address.key));
      return false;
    }
    this.lastKnown = { content, version: outcome.value };
    return true;
  }

  private handleLoss(reason: string): void {
    this.heldEpoch = 0;
    this.logChange('lost', reason);
  }

  private logChange(change: string, detail?: string): void {
    const epoch = this.lastKnown?.content.epoch ?? 0;
    this.logger.record({ event: 'duty-changed', duty: this.task, change, epoch, detail });
  }
}
