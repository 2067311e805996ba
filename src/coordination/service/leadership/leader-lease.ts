/**
 * A duty that one node holds at a time, such as giving orders to replicas. The lease record is written before each act,
 * conditional on its version: an act is allowed only right after the store has confirmed that write. The record names the
 * targets of the newest acts and when each of these began at the latest, so a successor acts at once on all targets but
 * those on which another machine may have acted a moment ago.
 */
import { ConditionVariable } from '../../../common/condition-variable.js';
import type { DecisionLogger } from '../../../common/decision-logger.js';
import { SYSTEM_TIME, startElapsed, type TimeSources } from '../../../common/elapsed-time.js';
import type { RecordAddress, RecordStore, StoredRecord } from '../../../protocol/record-store.js';
import type { OwnerReference } from '../../../state/service/jobs/index.js';
import { SESSION_TABLE, type SessionMonitor } from '../membership/index.js';
import { ANY_TARGET, addActs, allowsAct, type RecentAct } from './recent-actions.js';

/** How old a confirmation may be when an act begins, milliseconds: more when the store answers slowly. */
const MIN_VALIDITY_MS = 250;
const MAX_VALIDITY_MS = 3_000;
const VALIDITY_ANSWERS = 4;
/** Added to the time that two holders must be apart at one target, milliseconds. */
const HANDOVER_GUARD_MARGIN_MS = 250;
/** Owner of a lease that was given back. */
const NOBODY: OwnerReference = { node: '', life: '' };

interface LeaseContent {
  readonly holder: OwnerReference;
  /** Rises with each change of the holder; serves as fencing token. */
  readonly epoch: number;
  /** Confirmations of this holder. */
  readonly acts: number;
  /** How long after the last act was confirmed it may still begin, milliseconds. */
  readonly validMs: number;
  /** Acts of this and earlier holders that are not long past; nodes of version 0.1.0 do not name them. */
  readonly recent?: readonly RecentAct[];
}

interface KnownLease {
  readonly content: LeaseContent;
  /** 0 while there is no record. */
  readonly version: number;
}

/** A confirmed right to act. */
export interface LeaseConfirmation {
  readonly epoch: number;
  /** Whether the confirmation is fresh enough to begin an act. */
  isFresh(): boolean;
}

const ABSENT: KnownLease = {
  content: { holder: NOBODY, epoch: 0, acts: 0, validMs: 0, recent: [] },
  version: 0,
};

/** Acts that begin at the same time and share one confirmation. */
interface Batch {
  readonly targets: Set<string>;
  readonly confirmation: Promise<LeaseConfirmation | undefined>;
}

/** One lease in the eyes of one node. It is read together with the beats of the sessions. */
export class LeaderLease {
  private known: KnownLease | undefined;
  /** Observed time at which the holder was learnt, milliseconds. */
  private holderLearntAtMs = 0;
  private heldEpoch = 0;
  private isTaking = false;
  private readonly taken = new ConditionVariable();
  /** Acts whose confirmation has not been asked for yet. */
  private batch: Batch | undefined;
  /** Resolves when the confirmation that was asked for last is answered. */
  private lastAnswer: Promise<unknown> = Promise.resolve();

  constructor(
    private readonly store: RecordStore,
    private readonly task: string,
    private readonly self: OwnerReference,
    private readonly sessions: SessionMonitor,
    /** Time that the acts of two holders on one target must be apart, milliseconds. */
    private readonly handoverGuardMs: () => number,
    private readonly logger: DecisionLogger,
    private readonly time: TimeSources = SYSTEM_TIME,
  ) {}

  /** Whether this node believes that it holds the lease. */
  get isHeld(): boolean {
    return this.heldEpoch > 0;
  }

  /** Number of this holding; it rises with each change of the holder, and is 0 while the lease is not held. */
  get epoch(): number {
    return this.heldEpoch;
  }

  /** Who holds the lease, as far as this node has seen. */
  get holder(): OwnerReference | undefined {
    const holder = this.known?.content.holder;
    return holder?.node ? holder : undefined;
  }

  /** Resolves while the lease is held, or when `signal` is aborted. */
  async untilHeld(signal: AbortSignal): Promise<void> {
    while (!this.isHeld && !signal.aborted) await this.taken.wait(signal);
  }

  /** Takes what was read; takes the lease when it is free or its holder is lost. */
  observe(records: readonly StoredRecord[], wantsLease: boolean): void {
    this.note(records.find((record) => record.key === this.address.key));
    if (!this.isHeld && wantsLease && !this.isTaking) void this.takeIfFree();
  }

  /** Gives the lease back, so that another node takes it without waiting for this one's loss. */
  async resign(): Promise<void> {
    if (!this.isHeld || !this.known) return;
    const { content, version } = this.known;
    this.heldEpoch = 0;
    await this.write(version, { ...content, holder: NOBODY });
    this.report('resigned');
  }

  /** Whether no other machine can have acted on `target` so lately that this one must wait. */
  mayActOn(target: string): boolean {
    return allowsAct(this.recentActs, target, this.self.node);
  }

  /**
   * Asks the store to confirm the lease before an act on `target`; `undefined` when it is not confirmed. A machine that was suspended
   * has a confirmation that is older than its monotonic clock says, and takes the store's clock for earlier than it is until
   * the store has answered: neither lets an act begin later than its record says.
   */
  confirm(target: string): Promise<LeaseConfirmation | undefined> {
    this.batch ??= this.openBatch();
    this.batch.targets.add(target);
    return this.batch.confirmation;
  }

  /** Takes targets until the answer before has come and this turn of the event loop is over. */
  private openBatch(): Batch {
    const targets = new Set<string>();
    const confirmation = this.lastAnswer.then(() => {
      this.batch = undefined;
      return this.askForConfirmation(targets);
    });
    this.lastAnswer = confirmation;
    return { targets, confirmation };
  }

  private async askForConfirmation(targets: ReadonlySet<string>): Promise<LeaseConfirmation | undefined> {
    if (!this.isHeld || !this.known) return undefined;
    const { content, version } = this.known;
    const answerMs = this.store.usualAnswerMs();
    const usualMs = Math.round(answerMs * VALIDITY_ANSWERS);
    const validMs = Math.min(MAX_VALIDITY_MS, Math.max(MIN_VALIDITY_MS, usualMs));
    const elapsed = startElapsed(this.time);
    const begunByMs = Math.round(this.store.nowMs() + answerMs + validMs);
    const { node } = this.self;
    const acts = [...targets].map((target) => ({ target, node, begunByMs }));
    const recent = addActs(this.recentActs, acts);
    if (!(await this.write(version, { ...content, acts: content.acts + 1, validMs, recent })))
      return undefined;
    const isBegunInTime = () => this.store.nowMs() <= begunByMs;
    return { epoch: content.epoch, isFresh: () => elapsed() < validMs && isBegunInTime() };
  }

  /**
   * Acts from which another holder must still keep its distance: those that the record names, or what must be supposed of
   * a holder that names none.
   */
  private get recentActs(): readonly RecentAct[] {
    if (!this.known) return [];
    const { recent, holder } = this.known.content;
    const nowMs = this.store.nowMs();
    const supposed = { target: ANY_TARGET, node: holder.node, begunByMs: nowMs + MAX_VALIDITY_MS };
    const sinceMs = nowMs - this.handoverGuardMs() - HANDOVER_GUARD_MARGIN_MS;
    return (recent ?? [supposed]).filter((act) => act.begunByMs > sinceMs);
  }

  private get address(): RecordAddress {
    return { table: SESSION_TABLE, partition: '', key: `duty/${this.task}` };
  }

  private note(record: StoredRecord | undefined): void {
    if (!record) {
      this.known ??= ABSENT;
      return;
    }
    if (this.known && this.known.version >= record.version) return;
    const content = JSON.parse(record.value.toString('utf8')) as LeaseContent;
    const before = this.known?.content;
    if (before?.epoch !== content.epoch) this.holderLearntAtMs = this.sessions.observedTimeMs;
    this.known = { content, version: record.version };
    if (this.isHeld && (content.holder.life !== this.self.life || content.epoch !== this.heldEpoch))
      this.lose(`taken by ${content.holder.node}`);
  }

  private async takeIfFree(): Promise<void> {
    if (!this.known) return;
    const { holder } = this.known.content;
    const isFormerSelf = holder.node === this.self.node;
    if (holder.node === '') await this.take('free');
    else if (isFormerSelf) await this.take('my former self');
    else if (this.sessions.isLost(holder, this.holderLearntAtMs)) await this.take(`${holder.node} is lost`);
  }

  private async take(reason: string): Promise<void> {
    if (!this.known) return;
    const { content, version } = this.known;
    this.isTaking = true;
    const recent = this.recentActs;
    const epoch = content.epoch + 1;
    const taken = await this.write(version, { holder: this.self, epoch, acts: 0, validMs: 0, recent });
    this.isTaking = false;
    if (!taken) return;
    this.heldEpoch = epoch;
    this.sessions.noteHolding();
    this.taken.notifyAll();
    const others = recent.filter((act) => act.node !== this.self.node);
    this.report('taken', `${reason}, ${others.length} targets must wait`);
  }

  private async write(version: number, content: LeaseContent): Promise<boolean> {
    const value = Buffer.from(JSON.stringify(content), 'utf8');
    const outcome = await this.store.transact({
      conditions: [{ ...this.address, version }],
      writes: [{ ...this.address, value }],
      removals: [],
    });
    if (outcome.isErr()) {
      this.note(outcome.error.current.find((record) => record.key === this.address.key));
      return false;
    }
    this.known = { content, version: outcome.value };
    return true;
  }

  private lose(reason: string): void {
    this.heldEpoch = 0;
    this.report('lost', reason);
  }

  private report(change: string, detail?: string): void {
    const epoch = this.known?.content.epoch ?? 0;
    this.logger.record({ event: 'duty-changed', duty: this.task, change, epoch, detail });
  }
}
