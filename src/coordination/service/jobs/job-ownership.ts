/**
 * Assigns jobs to owners and runs the jobs that this node owns. Every node follows the heads of all jobs
 * (`job-heads.ts`). An accepted job is given to the owner of the model's previous job, which already has
 * connections to the replicas and knows their load; otherwise the accepting node keeps it.
 *
 * Jobs of lost owners are claimed (`job-claimer.ts`). All writes of an owner are conditional on the head, so a
 * replaced owner cannot list results. At every poll each open job of this process has a run here, has all its
 * results listed, or is claimed again for a new run (`run-restarts.ts`).
 */
import { MAX_TIMER_MS, monotonicMs } from '../../../common/clock.js';
import type { DecisionLogger } from '../../../common/decision-logger.js';
import type { ServiceMetrics } from '../../../common/service-metrics.js';
import type { ChangedRecord, RecordStore } from '../../../protocol/record-store.js';
import type { JobSpecification } from '../../../protocol/service/batch-job.js';
import {
  isJobPartition,
  JOB_TABLE,
  type JobHead,
  type JobRepository,
  type OwnerReference,
} from '../../../state/service/jobs/index.js';
import { applyEach, type FeedHandler } from '../../feeds/index.js';
import type { SessionMonitor } from '../membership/index.js';
import { JobClaimer } from './job-claimer.js';
import type { JobHeads } from './job-heads.js';
import { JobRun, type JobRunEnd, type JobRunServices } from './job-run.js';
import { isOwnedBy, removalDelayMs, shouldRemove } from './ownership-policy.js';
import { RunRestarts } from './run-restarts.js';

/** A job that is not released in time is claimed once the heartbeats of this process are missing. */
const RELEASE_TIMEOUT_MS = 1_000;
/** Time after its last job for which a process sends heartbeats, so that it can be given the next one. */
const RECENT_OWNER_WINDOW_MS = 10_000;

export interface JobOwnershipServices extends JobRunServices {
  readonly store: RecordStore;
  readonly repository: JobRepository;
  readonly sessions: SessionMonitor;
  readonly metrics: ServiceMetrics;
  readonly logger: DecisionLogger;
  /** How long results stay readable after the acceptance of a job, milliseconds. */
  readonly retentionMs: () => number;
}

export class JobOwnership implements FeedHandler<readonly JobHead[]> {
  readonly table = JOB_TABLE;
  /** Heads of all jobs, whoever owns them. */
  readonly heads: JobHeads;
  private readonly claimer: JobClaimer;
  private readonly runs = new Map<string, JobRun>();
  private readonly restarts = new RunRestarts();
  private isLeaving = false;
  private lastOwnedAtMs = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly services: JobOwnershipServices,
    private readonly self: OwnerReference,
  ) {
    const { repository, sessions, heads } = services;
    const isLeaving = () => this.isLeaving;
    const report = (head: JobHead, change: string, detail: string) => this.report(head, change, detail);
    const onClaimed = (head: JobHead) => this.updateHead(head);
    const refresh = (jobId: string) => this.refresh(jobId);
    this.heads = heads;
    this.claimer = new JobClaimer(
      { repository, sessions, heads, isLeaving, report, onClaimed, refresh },
      self,
    );
    sessions.onPoll(() => {
      for (const head of this.heads.openJobs) this.claimIfNeeded(head);
    });
  }

  /** Number of jobs that this node runs. */
  get ownedCount(): number {
    return this.runs.size;
  }

  /** Number of unfinished items of the jobs that this node runs. */
  get openItems(): number {
    return [...this.runs.values()].reduce((sum, run) => sum + run.openItems, 0);
  }

  /** Age of the oldest job that this node runs, milliseconds; 0 without one. */
  get oldestAgeMs(): number {
    return Math.max(0, ...[...this.runs.values()].map((run) => run.ageMs));
  }

  /** Whether this node runs a job or ran one recently, so that other nodes may give it the next one. */
  get isRecentOwner(): boolean {
    return this.runs.size > 0 || monotonicMs() - this.lastOwnedAtMs < RECENT_OWNER_WINDOW_MS;
  }

  /**
   * Selects the owner of the next job of a model: the owner of the newest one if its heartbeat is fresh, else
   * this node. `null`: whichever node claims the job first.
   */
  async selectOwner(model: string): Promise<OwnerReference | null> {
    const owner = this.heads.newestOf(model)?.record.owner;
    if (owner) await this.services.sessions.refresh();
    if (owner && this.services.sessions.isFresh(owner)) return owner;
    return this.isLeaving ? null : this.self;
  }

  /** Whether there are open jobs that this node may have to claim: those of other owners, and own ones without a run. */
  get mustWatch(): boolean {
    return this.heads.openJobs.some((head) => !this.isOwned(head) || this.mustRestart(head));
  }

  /** Whether this node runs the job and has read the results listed so far. */
  isRunning(jobId: string): boolean {
    return this.runs.get(jobId)?.isLoaded ?? false;
  }

  /**
   * Adds a job that this node has accepted since `requestedAtMs`, and runs it if this node is the owner.
   */
  addAccepted(head: JobHead, specification: JobSpecification, requestedAtMs: number): void {
    this.heads.confirmOpen(head.jobId, requestedAtMs);
    const cached = this.heads.get(head.jobId);
    if (cached && cached.version > head.version) return;
    if (this.isOwned(head)) this.start(head, specification);
    else
      this.report(
        head,
        'accepted here',
        head.record.owner ? 'given to the owner of the previous job' : 'this node is shutting down',
      );
    this.updateHead(head);
  }

  /** Updates a head from the feed, a read or a write; an older one is ignored. */
  updateHead(head: JobHead): void {
    const known = this.heads.get(head.jobId);
    if (!this.heads.set(head, this.services.sessions.observedTimeMs)) return;
    if (known && this.isOwned(known) && !this.isOwned(head)) this.reportLoss(head);
    this.reconcile(head);
  }

  async readAll() {
    const listing = await this.services.repository.list();
    return listing.map(({ heads, version }) => ({ content: heads, version }));
  }

  replaceAll(content: readonly JobHead[], version: number): void {
    const jobIds = new Set(content.map((head) => head.jobId));
    const isOld = (jobId: string) => (this.heads.get(jobId)?.version ?? 0) <= version;
    for (const jobId of this.heads.ids) if (!jobIds.has(jobId) && isOld(jobId)) this.forget(jobId);
    applyEach(
      content,
      ({ jobId }) => jobId,
      (head) => this.updateHead(head),
    );
  }

  apply(change: ChangedRecord): void {
    const { value } = change;
    const head = value && this.services.repository.toHead({ ...change, value });
    if (head) this.updateHead(head);
    else if (isJobPartition(change.partition)) this.forget(change.key);
  }

  confirm(asOfMs: number): void {
    this.heads.confirm(asOfMs);
  }

  /** Stores the texts of all jobs and releases the jobs, so that other nodes claim them at once. */
  async releaseAll(): Promise<void> {
    this.isLeaving = true;
    const withoutRun = this.heads.openJobs.filter((head) => this.isOwned(head) && this.mustRestart(head));
    await Promise.all([
      ...[...this.runs.values()].map((run) => this.releaseRun(run)),
      ...withoutRun.map((head) => this.releaseHead(head)),
    ]);
  }

  /**
   * Cancels all runs because the store rejects this node while it serves others, which claim the jobs once
   * the heartbeats of this node are missing and then need the slots. Jobs still owned when the store serves
   * this node again are run again.
   */
  cancelRuns(): void {
    for (const run of this.runs.values()) {
      if (run.isStopped) continue;
      this.report(run.head, 'runs cancelled', 'the store serves other nodes, not this one');
      run.stop();
    }
  }

  /** Stops claiming and starting jobs; running ones continue. */
  stopClaiming(): void {
    this.isLeaving = true;
  }

  private isOwned(head: JobHead): boolean {
    return isOwnedBy(head.record, this.self);
  }

  private forget(jobId: string): void {
    this.heads.remove(jobId);
    this.restarts.forget(jobId);
    this.runs.get(jobId)?.stop();
    this.services.cache.remove(jobId);
  }

  /** Whether a job of this process has neither a run here nor all its results listed. */
  private mustRestart({ jobId }: JobHead): boolean {
    return !this.runs.has(jobId) && this.restarts.isDue(jobId);
  }

  private claimIfNeeded(head: JobHead): void {
    const reason = this.runs.has(head.jobId) ? undefined : this.restarts.reasonToRestart(head.jobId);
    if (!this.isOwned(head)) this.claimer.claimIfAllowed(head);
    else if (reason !== undefined) this.claimer.reclaim(head, reason);
  }

  /** Reports that this process no longer owns a job, unless it has released the job itself. */
  private reportLoss(head: JobHead): void {
    const { state, owner } = head.record;
    if (state === 'open' && owner) this.report(head, 'taken by another owner');
    else if (state === 'ended' && this.runs.has(head.jobId)) this.report(head, 'ended');
  }

  /** Starts, stops, claims, releases or removes a job as its new head requires. */
  private reconcile(head: JobHead): void {
    const run = this.runs.get(head.jobId);
    if (run && (!this.isOwned(head) || run.head.record.epoch !== head.record.epoch)) run.stop();
    if (head.record.state === 'ended') this.scheduleRemoval(head);
    else if (!this.isOwned(head)) this.claimer.claimIfAllowed(head);
    else if (this.isLeaving && !run) void this.releaseHead(head);
    else this.start(head, undefined);
  }

  private start(head: JobHead, specification: JobSpecification | undefined): void {
    if (this.runs.has(head.jobId) || this.isLeaving) return;
    if (this.restarts.wasRunUnder(head.jobId, head.version)) {
      this.claimer.reclaim(head, 'run before under the same head');
      return;
    }
    this.restarts.recordStart(head.jobId, head.version);
    const ageMs = Math.max(0, this.services.store.nowMs() - head.record.acceptedAtMs);
    const run = new JobRun(this.services, head, ageMs, specification);
    this.runs.set(head.jobId, run);
    this.services.sessions.notifyHolding();
    this.services.metrics.ownedJobs.set({}, this.runs.size);
    this.report(head, 'running', `age ${Math.round(ageMs)} ms`);
    void run.run().then((end) => this.onRunEnded(run, end));
  }

  private onRunEnded(run: JobRun, end: JobRunEnd): void {
    const { jobId } = run.head;
    if (this.runs.get(jobId) === run) this.runs.delete(jobId);
    this.lastOwnedAtMs = monotonicMs();
    this.services.metrics.ownedJobs.set({}, this.runs.size);
    this.report(run.head, end);
    const newest = this.heads.get(jobId);
    if (newest) this.restarts.recordEnd(jobId, end);
    if (end === 'write-rejected') void this.refresh(jobId);
    if (end === 'stopped' && newest && newest.version !== run.head.version && this.isOwned(newest))
      this.start(newest, undefined);
  }

  /** Reads a head. If that fails, the feed delivers it later. */
  private async refresh(jobId: string): Promise<void> {
    const read = await this.services.repository.read(jobId);
    if (read.isOk() && read.value) this.updateHead(read.value);
  }

  private async releaseRun(run: JobRun): Promise<void> {
    await run.saveTexts();
    run.stop();
    await this.releaseHead(run.head);
  }

  private async releaseHead(head: JobHead): Promise<void> {
    const released = await this.services.repository.release(head, monotonicMs() + RELEASE_TIMEOUT_MS);
    this.report(head, released.isOk() ? 'handed back' : `hand back: ${released.error.failure}`);
  }

  /** Removes an ended job after its retention period. */
  private scheduleRemoval(head: JobHead): void {
    if (!shouldRemove(head.record, this.self)) return;
    const ageMs = this.services.store.nowMs() - head.record.acceptedAtMs;
    const delayMs = removalDelayMs(ageMs, this.services.retentionMs());
    const timerMs = Math.min(delayMs, MAX_TIMER_MS);
    setTimeout(() => void this.services.repository.remove(head), timerMs).unref();
  }

  private report(head: JobHead, change: string, detail?: string): void {
    const { owner, epoch } = head.record;
    this.services.logger.record({
      event: 'job-changed',
      jobId: head.jobId,
      change,
      owner: owner ? `${owner.node}/${owner.life}` : 'none',
      epoch,
      recordVersion: head.version,
      detail,
    });
  }
}
