/**
 * Leader lease of a singleton task, such as scheduling weight loads. Before each action the leader confirms
 * the lease by a conditional write; the action may begin only while the confirmation is fresh. The record
 * lists the targets of recent actions, so that a successor waits for the handover guard only on those
 * targets. An unreadable record is a free lease, which the next leader replaces.
 */
import { ConditionVariable } from '../../../common/condition-variable.js';
import type { DecisionLogger } from '../../../common/decision-logger.js';
import { SYSTEM_TIME, startStopwatch, type TimeSources } from '../../../common/elapsed-time.js';
import type { RecordAddress, RecordStore, StoredRecord } from '../../../protocol/record-store.js';
import type { OwnerReference } from '../../../state/service/jobs/index.js';
import { ignoreUnreadable, type ReportUnreadable } from '../../../state/service/store/index.js';
import type { SessionMonitor } from '../membership/index.js';
import {
  ABSENT_LEASE,
  type LeaseContent,
  leaseAddress,
  NO_HOLDER,
  parseLease,
  replacementFor,
  type VersionedLease,
} from './lease-record.js';
import { acquisitionReason, confirmationValidityMs, guardedActions, isTakenOver } from './lease-rules.js';
import { addActions, isUnguarded, type RecentAction } from './recent-actions.js';

/** Permission to begin one action. */
export interface LeaseConfirmation {
  /** Fencing token. */
  readonly epoch: number;
  /** Whether the action may still begin. Must be checked immediately before the action. */
  isFresh(): boolean;
}

/** Targets that share one confirmation. */
interface Batch {
  readonly targets: Set<string>;
  readonly confirmation: Promise<LeaseConfirmation | undefined>;
}

/** A node's view of one lease. */
export class LeaderLease {
  private lastKnown: VersionedLease | undefined;
  /** When the current epoch was first seen, in observed time of the session monitor. */
  private holderSeenAtMs = 0;
  /** 0 while this node does not hold the lease. */
  private heldEpoch = 0;
  private isAcquiring = false;
  private readonly acquired = new ConditionVariable();
  /** Collects targets for the next confirmation. */
  private batch: Batch | undefined;
  /** Settles when the store has answered the latest confirmation. */
  private lastConfirmation: Promise<unknown> = Promise.resolve();
  private readonly address: RecordAddress;

  constructor(
    private readonly store: RecordStore,
    private readonly task: string,
    private readonly self: OwnerReference,
    private readonly sessions: SessionMonitor,
    /** Minimum time between actions of leaders on different machines on the same target. */
    private readonly handoverGuardMs: () => number,
    private readonly logger: DecisionLogger,
    private readonly time: TimeSources = SYSTEM_TIME,
    private readonly reportUnreadable: ReportUnreadable = ignoreUnreadable,
  ) {
    this.address = leaseAddress(task);
  }

  /** Whether this node holds the lease as far as it knows. */
  get isHeld(): boolean {
    return this.heldEpoch > 0;
  }

  /** Fencing token: increases with each change of the holder; 0 while this node does not hold the lease. */
  get epoch(): number {
    return this.heldEpoch;
  }

  /** Last known holder. */
  get holder(): OwnerReference | undefined {
    const holder = this.lastKnown?.content.holder;
    return holder?.node ? holder : undefined;
  }

  /** Resolves when the lease is held or `signal` is aborted. */
  async waitUntilHeld(signal: AbortSignal): Promise<void> {
    while (!this.isHeld && !signal.aborted) await this.acquired.wait(signal);
  }

  /**
   * Applies the records read from the store. If `wantsLease`, acquires a lease that is free or whose holder
   * is lost.
   */
  observe(records: readonly StoredRecord[], wantsLease: boolean): void {
    this.applyRecord(records.find((record) => record.key === this.address.key));
    if (!this.isHeld && wantsLease && !this.isAcquiring) void this.tryAcquire();
  }

  /** Releases the lease. If the write fails, a successor has to wait until this node is considered lost. */
  async release(): Promise<void> {
    if (!this.isHeld || !this.lastKnown) return;
    const { content, version } = this.lastKnown;
    this.heldEpoch = 0;
    await this.write(version, { ...content, holder: NO_HOLDER });
    this.logChange('resigned');
  }

  /** Whether no other machine can have acted on `target` within the handover guard. */
  allowsAction(target: string): boolean {
    return isUnguarded(this.guardedActions, target, this.self.node);
  }

  /**
   * Confirms the lease in the store before an action on `target`; resolves to `undefined` on failure.
   * Freshness also covers a suspension of the machine, which the monotonic clock does not count and after
   * which the estimate of the store's clock is behind: no action begins later than its record says.
   */
  confirm(target: string): Promise<LeaseConfirmation | undefined> {
    this.batch ??= this.openBatch();
    this.batch.targets.add(target);
    return this.batch.confirmation;
  }

  /** Opens a batch that collects targets until the previous confirmation has settled. */
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
    const content = this.contentOf(record);
    const previous = this.lastKnown?.content;
    if (previous?.epoch !== content.epoch) this.holderSeenAtMs = this.sessions.observedTimeMs;
    this.lastKnown = { content, version: record.version };
    if (this.isHeld && isTakenOver(content, this.self, this.heldEpoch))
      this.handleLoss(`acquired by ${content.holder.node}`);
  }

  private contentOf(record: StoredRecord): LeaseContent {
    const parsed = parseLease(record);
    if (parsed.isOk()) return parsed.value;
    this.reportUnreadable(record, parsed.error);
    return replacementFor(record);
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
    // `taken`: acquired.
    this.logChange('taken', `${reason}, ${otherActions.length} targets under the handover guard`);
  }

  /** Returns whether the record was written; false also if that is unknown, until the next scan shows it. */
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
    // The event `duty-changed` and its key `duty` stand for a change of a singleton task's leader.
    this.logger.record({ event: 'duty-changed', duty: this.task, change, epoch, detail });
  }
}
