/**
 * Keeps requests that end replicas away from them. Whoever sends a request to a replica asks here before and tells of each
 * run under which a replica ended; what one node learns, all others hear through the store within milliseconds, and nodes
 * that start later read it there. The store is never waited for: a node judges by what it knows. A node that the store does
 * not serve exchanges reports with others (`quarantine-exchange.ts`).
 */
import { type Clock, SYSTEM_CLOCK } from '../../common/clock.js';
import { ConditionVariable } from '../../common/condition-variable.js';
import type { DecisionLogger } from '../../common/decision-logger.js';
import type { ServiceMetrics } from '../../common/service-metrics.js';
import { TokenBucket } from '../../common/token-bucket.js';
import { type FatalRunMessage, MAX_REPORTS } from '../../protocol/fatal-run-peer.js';
import type { ChangedRecord, RecordStore, RecordWrite, StoredRecord } from '../../protocol/record-store.js';
import {
  FATAL_RUN_EXPIRY_MS,
  FATAL_RUN_PARTITION,
  type FatalRun,
  type FatalRunReport,
  FatalRuns,
  parseFatalRunReport,
  type ReplicaDirectory,
  type ReplicaState,
  timeOf,
  toFatalRunRecord,
  toServedRecord,
  type Verdict,
} from '../../state/replicas/index.js';
import { FOLLOWED_TABLE } from '../../state/store/index.js';
import { type FeedHandler, readPartition } from '../configuration/index.js';
import { digestOf, type IdentifiedRequest } from './request-digest.js';

/** Records in one transaction at most. */
const MAX_RECORDS = 100;
/** Runs that one node reports in the long run, and at once: what is over that counts at this node alone. */
const REPORTS_PER_SECOND = 20;
const BURST_REPORTS = 200;
/** Runs that wait for the store at most: what is over that counts at this node alone. */
const MAX_PENDING = 1_000;
/** Pauses after a write that the store did not take, milliseconds. */
const FIRST_PAUSE_MS = 50;
const LONGEST_PAUSE_MS = 1_000;
/** How often what has expired is removed, milliseconds. */
const SWEEP_MS = 60_000;
/** A node that reads records of others removes those that have been due for this long, milliseconds. */
const OVERDUE_MS = FATAL_RUN_EXPIRY_MS;

const CLEAR: Verdict = { kind: 'clear' };
const FATAL_RUN_ADDRESS = { table: FOLLOWED_TABLE, partition: FATAL_RUN_PARTITION } as const;

function toMessage({ key, value }: RecordWrite): FatalRunMessage {
  return { key, value: value.toString('utf8') };
}

/** What the quarantine works with. */
export interface QuarantineServices {
  readonly store: RecordStore;
  readonly directory: ReplicaDirectory;
  readonly metrics: Pick<ServiceMetrics, 'heldRequests' | 'suspectRequests'>;
  readonly logger: DecisionLogger;
}

/** The quarantine of one node. */
export class RequestQuarantine implements FeedHandler<readonly StoredRecord[]> {
  readonly table = FOLLOWED_TABLE;
  private readonly runs = new FatalRuns();
  /** Records that the store has not taken yet, by key. */
  private pending = new Map<string, RecordWrite>();
  /** Records that this node has written, to be removed once they have expired. */
  private written: RecordWrite[] = [];
  /** The newest reports, of this node and of others, by key. */
  private readonly reports = new Map<string, FatalRunMessage>();
  private readonly hasPending = new ConditionVariable();
  private readonly budget = new TokenBucket(REPORTS_PER_SECOND, BURST_REPORTS);
  private hasRead = false;

  constructor(
    private readonly services: QuarantineServices,
    private readonly clock: Clock = SYSTEM_CLOCK,
  ) {}

  /** Whether this node knows what others had reported before it started. */
  get isInformed(): boolean {
    return this.hasRead;
  }

  /** Whether a request may be sent to a replica now. Costs nothing while no replica has ended under a request. */
  judge(request: IdentifiedRequest): Verdict {
    if (this.runs.size === 0) return CLEAR;
    return this.runs.judge(digestOf(request), this.services.store.nowMs());
  }

  /** Counts a request that was not sent because of its verdict. */
  noteHeld(service: string): void {
    this.services.metrics.heldRequests.inc({ service });
  }

  /** A replica has ended while it ran the request. One that was leaving has ended by plan. */
  noteEnd(request: IdentifiedRequest, state: ReplicaState): void {
    if (!this.services.directory.isAvailable(state)) return;
    const { id, address } = state.replica;
    const run = { digest: digestOf(request), address, endedAtMs: this.services.store.nowMs() };
    if (this.take(run, 'here', id)) this.share(toFatalRunRecord(run, id));
  }

  /** A replica has answered the request: it is not what ends them. */
  noteServed(request: IdentifiedRequest): void {
    if (this.runs.size === 0) return;
    const digest = digestOf(request);
    if (!this.runs.isAccused(digest)) return;
    const run = { digest, servedAtMs: this.services.store.nowMs() };
    this.runs.noteServed(run);
    this.share(toServedRecord(run));
  }

  /** What this node has learnt and the store has not taken yet. */
  get unreported(): readonly FatalRunMessage[] {
    return [...this.pending.values()].slice(0, MAX_REPORTS).map(toMessage);
  }

  /** Resolves when this node has learnt something that the store must be told, after `ms` milliseconds at the latest. */
  untilNews(ms: number, signal: AbortSignal): Promise<void> {
    return this.hasPending.waitAtMost(ms, signal, this.clock);
  }

  /** The newest reports that this node knows. */
  get newestReports(): readonly FatalRunMessage[] {
    return [...this.reports.values()].slice(-MAX_REPORTS);
  }

  /** Takes reports of a node, and writes those that are new here for all others. */
  takeFromPeer(messages: readonly FatalRunMessage[]): void {
    for (const { key, value } of messages) {
      if (this.reports.get(key)?.value === value) continue;
      const record = { ...FATAL_RUN_ADDRESS, key, value: Buffer.from(value, 'utf8') };
      if (this.takeReport(record)) this.share(record);
    }
  }

  /** Reports what this node learns, until `signal` is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([this.reportAll(signal), this.sweepRegularly(signal)]);
  }

  /** What was read counts at once: the other kinds of the table may not be readable yet. */
  async readAll() {
    const read = await readPartition(this.services.store, FOLLOWED_TABLE, FATAL_RUN_PARTITION);
    if (read.isOk()) this.replaceAll(read.value.content);
    return read;
  }

  replaceAll(content: readonly StoredRecord[]): void {
    for (const record of content) this.apply(record);
    if (!this.hasRead) void this.removeOverdue(content);
    this.hasRead = true;
  }

  apply(change: ChangedRecord): void {
    this.takeReport(change);
  }

  /** Takes a report of another node; false when it is none, or expired. */
  private takeReport(record: Pick<ChangedRecord, 'key' | 'value'>): boolean {
    const report = parseFatalRunReport(record);
    if (!report || !record.value || this.isExpired(report)) return false;
    this.remember({ key: record.key, value: record.value.toString('utf8') });
    if (report.kind === 'served') this.runs.noteServed(report.run);
    else this.take(report.run, 'another node', record.key);
    return true;
  }

  private remember(message: FatalRunMessage): void {
    this.reports.delete(message.key);
    this.reports.set(message.key, message);
    const [oldest] = this.reports.keys();
    if (this.reports.size > MAX_REPORTS && oldest !== undefined) this.reports.delete(oldest);
  }

  private isExpired(report: FatalRunReport): boolean {
    return timeOf(report) < this.services.store.nowMs() - FATAL_RUN_EXPIRY_MS;
  }

  private share(record: RecordWrite): void {
    this.remember(toMessage(record));
    if (this.pending.size >= MAX_PENDING || this.budget.take() > 0) return;
    this.pending.set(record.key, record);
    this.hasPending.notifyAll();
  }

  /** Takes a run; false when it was known. */
  private take(run: FatalRun, source: 'here' | 'another node', replica: string): boolean {
    if (!this.runs.note(run)) return false;
    const verdict = this.runs.judge(run.digest, this.services.store.nowMs());
    this.services.metrics.suspectRequests.set({}, this.runs.size);
    this.services.logger.record({
      event: 'request-suspected',
      digest: run.digest,
      replica,
      address: run.address,
      source,
      verdict: verdict.kind,
      ends: verdict.kind === 'clear' ? 0 : verdict.ends,
      holdMs: verdict.kind === 'held' ? Math.round(verdict.retryAfterMs) : 0,
      ageMs: Math.round(this.services.store.nowMs() - run.endedAtMs),
    });
    return true;
  }

  private async reportAll(signal: AbortSignal): Promise<void> {
    let pauseMs = FIRST_PAUSE_MS;
    while (!signal.aborted) {
      await this.untilPending(signal);
      if (signal.aborted) return;
      const isTaken = await this.report();
      if (!isTaken) await this.clock.sleep(pauseMs * (0.5 + this.clock.random()), signal);
      pauseMs = isTaken ? FIRST_PAUSE_MS : Math.min(LONGEST_PAUSE_MS, pauseMs * 2);
    }
  }

  private async untilPending(signal: AbortSignal): Promise<void> {
    while (this.pending.size === 0 && !signal.aborted) await this.hasPending.wait(signal);
  }

  /** Writes a batch; a repeat of a write that was done after all changes nothing. */
  private async report(): Promise<boolean> {
    const writes = [...this.pending.values()].slice(0, MAX_RECORDS);
    const outcome = await this.services.store.transact({ conditions: [], writes, removals: [] });
    if (outcome.isErr()) return false;
    for (const { key } of writes) this.pending.delete(key);
    this.written.push(...writes);
    return true;
  }

  private async sweepRegularly(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.clock.sleep(SWEEP_MS, signal);
      if (!signal.aborted) await this.sweep();
    }
  }

  private async sweep(): Promise<void> {
    this.runs.forgetBefore(this.services.store.nowMs() - FATAL_RUN_EXPIRY_MS);
    this.services.metrics.suspectRequests.set({}, this.runs.size);
    const isDue = (record: RecordWrite) => {
      const report = parseFatalRunReport(record);
      return report === undefined || this.isExpired(report);
    };
    const due = this.written.filter(isDue).slice(0, MAX_RECORDS);
    if (due.length === 0) return;
    const outcome = await this.services.store.transact({ conditions: [], writes: [], removals: due });
    if (outcome.isOk()) this.written = this.written.filter((record) => !due.includes(record));
  }

  /** Nodes that are gone for good leave their records behind. */
  private async removeOverdue(content: readonly StoredRecord[]): Promise<void> {
    const dueMs = this.services.store.nowMs() - FATAL_RUN_EXPIRY_MS - OVERDUE_MS;
    const isOverdue = (record: StoredRecord) => {
      const report = parseFatalRunReport(record);
      return report === undefined || timeOf(report) < dueMs;
    };
    const removals = content.filter(isOverdue);
    if (removals.length === 0) return;
    const batch = removals.slice(0, MAX_RECORDS);
    await this.services.store.transact({ conditions: [], writes: [], removals: batch });
  }
}
