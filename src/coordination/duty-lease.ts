/**
 * A duty that one node holds at a time, such as giving orders to replicas. The lease record is written before each act,
 * conditional on its version: an act is allowed only right after the store has confirmed that write. A successor acts
 * only when it has seen no act for longer than two holders must be apart.
 */
import { monotonicMs } from '../common/clock.js';
import { ConditionVariable } from '../common/condition-variable.js';
import type { DecisionLogger } from '../common/decision-logger.js';
import type { RecordAddress, RecordStore, StoredRecord } from '../protocol/record-store.js';
import type { JobOwner } from '../state/job-record.js';
import { SESSION_TABLE, type SessionMonitor } from './session-monitor.js';

/** How old a confirmation may be when an act begins, milliseconds: more when the store answers slowly. */
const SHORTEST_VALIDITY_MS = 250;
const LONGEST_VALIDITY_MS = 3_000;
const VALIDITY_ANSWERS = 4;
/** Added to the time that two holders must be apart, milliseconds. */
const APART_MARGIN_MS = 250;
/** Owner of a lease that was given back. */
const NOBODY: JobOwner = { node: '', life: '' };

interface LeaseContent {
  readonly holder: JobOwner;
  /** Rises with each change of the holder; serves as fencing token. */
  readonly epoch: number;
  /** Acts of this holder. */
  readonly acts: number;
  /** How long after the last act was confirmed it may still begin, milliseconds. */
  readonly validMs: number;
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

const ABSENT: KnownLease = { content: { holder: NOBODY, epoch: 0, acts: 0, validMs: 0 }, version: 0 };

/** One lease in the eyes of one node. It is read together with the beats of the sessions. */
export class DutyLease {
  private known: KnownLease | undefined;
  /** Observed time at which the holder was learnt, milliseconds. */
  private holderLearntAtMs = 0;
  /** When an act, or a change of the holder, was last seen. */
  private lastActSeenMs = 0;
  /** When acts of this holder may begin. */
  private actsFromMs = 0;
  private heldEpoch = 0;
  private isTaking = false;
  private readonly taken = new ConditionVariable();
  /** Acts that begin at the same time share one confirmation. */
  private confirming: Promise<LeaseConfirmation | undefined> | undefined;

  constructor(
    private readonly store: RecordStore,
    private readonly duty: string,
    private readonly self: JobOwner,
    private readonly sessions: SessionMonitor,
    /** Time that the acts of two holders must be apart, milliseconds. */
    private readonly apartMs: () => number,
    private readonly logger: DecisionLogger,
  ) {}

  /** Whether this node believes that it holds the lease. */
  get isHeld(): boolean {
    return this.heldEpoch > 0;
  }

  /** Who holds the lease, as far as this node has seen. */
  get holder(): JobOwner | undefined {
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

  /** Asks the store to confirm the lease before an act; `undefined` when it is not confirmed. */
  confirm(): Promise<LeaseConfirmation | undefined> {
    this.confirming ??= this.askForConfirmation().finally(() => {
      this.confirming = undefined;
    });
    return this.confirming;
  }

  private async askForConfirmation(): Promise<LeaseConfirmation | undefined> {
    if (!this.isHeld || !this.known || monotonicMs() < this.actsFromMs) return undefined;
    const { content, version } = this.known;
    const usualMs = this.store.usualAnswerMs() * VALIDITY_ANSWERS;
    const validMs = Math.min(LONGEST_VALIDITY_MS, Math.max(SHORTEST_VALIDITY_MS, Math.round(usualMs)));
    const askedAtMs = monotonicMs();
    if (!(await this.write(version, { ...content, acts: content.acts + 1, validMs }))) return undefined;
    return { epoch: content.epoch, isFresh: () => monotonicMs() - askedAtMs < validMs };
  }

  private get address(): RecordAddress {
    return { table: SESSION_TABLE, partition: '', key: `duty/${this.duty}` };
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
    if (before?.epoch !== content.epoch || before.acts !== content.acts) this.lastActSeenMs = monotonicMs();
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
    const earliestMs = this.earliestAct(content);
    const taken = await this.write(version, {
      holder: this.self,
      epoch: content.epoch + 1,
      acts: 0,
      validMs: 0,
    });
    this.isTaking = false;
    if (!taken) return;
    this.heldEpoch = content.epoch + 1;
    this.actsFromMs = earliestMs;
    this.sessions.noteHolding();
    this.taken.notifyAll();
    this.report('taken', `${reason}, acts in ${Math.max(0, Math.round(earliestMs - monotonicMs()))} ms`);
  }

  /** Acts of another machine may lie behind the last act seen; own ones need no distance. */
  private earliestAct(content: LeaseContent): number {
    const hasOwnActs = content.holder.node === this.self.node && content.acts > 0;
    if (content.epoch === 0 || hasOwnActs) return 0;
    return this.lastActSeenMs + content.validMs + this.apartMs() + APART_MARGIN_MS;
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
    this.logger.record({ event: 'duty-changed', duty: this.duty, change, epoch, detail });
  }
}
