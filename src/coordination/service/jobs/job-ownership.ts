/**
 * Ownership of jobs. Every node follows the heads of all jobs (`job-heads.ts`). The node that accepts a job
 * gives it to the owner of the model's job before, which has connections to the replicas and knows their
 * load, or keeps it.
 *
 * Owns: the runs of this node's jobs. Relies on heartbeats to tell lost owners (`SessionMonitor`) and on the
 * store for claims (`job-claims.ts`). Whatever an owner writes is conditional on the head, so that a replaced
 * owner lists nothing.
 */
import { monotonicMs } from '../../../common/clock.js';
import type { DecisionLogger } from '../../../common/decision-logger.js';
import type { ServiceMetrics } from '../../../common/service-metrics.js';
import type { ChangedRecord, RecordStore } from '../../../protocol/record-store.js';
import type { JobSpecification } from '../../../protocol/service/batch-job.js';
import {
  JOB_TABLE,
  type JobHead,
  type JobRepository,
  type OwnerReference,
  toJobHead,
} from '../../../state/service/jobs/index.js';
import type { FeedHandler } from '../../feeds/index.js';
import type { SessionMonitor } from '../membership/index.js';
import { JobClaimer } from './job-claims.js';
import { JobHeads } from './job-heads.js';
import { JobRun, type JobRunEnd, type JobRunServices } from './job-run.js';
import { isOwnedBy, removalDelayMs, shouldRemove } from './ownership-policy.js';

/** Longest effort to hand a job back, ms. Chosen, not measured: else it is claimed once lost. */
const RELEASE_TIMEOUT_MS = 1_000;
/** Time for which a process without jobs sends heartbeats, ms, to get the next. Chosen, not measured. */
const RECENT_OWNER_WINDOW_MS = 10_000;

/** Dependencies of job ownership. */
export interface JobOwnershipServices extends JobRunServices {
  readonly store: RecordStore;
  readonly repository: JobRepository;
  readonly sessions: SessionMonitor;
  readonly metrics: ServiceMetrics;
  readonly logger: DecisionLogger;
  /** How long results stay readable after a job was accepted, milliseconds. */
  readonly retentionMs: () => number;
}

/** All jobs that this node knows, and those that it runs. */
export class JobOwnership implements FeedHandler<readonly JobHead[]> {
  readonly table = JOB_TABLE;
  /** Jobs that this node knows, its own or not. */
  readonly heads: JobHeads;
  private readonly claimer: JobClaimer;
  private readonly runs = new Map<string, JobRun>();
  /** Jobs whose runs were cancelled while the store rejected this node. */
  private readonly cancelled = new Set<string>();
  private isLeaving = false;
  private lastOwnedAtMs = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly services: JobOwnershipServices,
    private readonly self: OwnerReference,
  ) {
    const { repository, sessions, store } = services;
    const heads = new JobHeads(() => store.nowMs());
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
      for (const head of this.heads.openJobs) if (!this.isOwned(head)) this.claimer.claimIfAllowed(head);
      void this.resumeCancelled();
    });
  }

  /** Jobs that this node runs. */
  get ownedCount(): number {
    return this.runs.size;
  }

  /** Items of the jobs run here that are not finished. */
  get openItems(): number {
    return [...this.runs.values()].reduce((sum, run) => sum + run.openItems, 0);
  }

  /** Age of the oldest job run here, milliseconds; 0 without one. */
  get oldestAgeMs(): number {
    return Math.max(0, ...[...this.runs.values()].map((run) => run.ageMs));
  }

  /** Whether this node runs jobs or ran one within `WARM_MS`, so that others may give it the next. */
  get isRecentOwner(): boolean {
    return this.runs.size > 0 || monotonicMs() - this.lastOwnedAtMs < RECENT_OWNER_WINDOW_MS;
  }

  /**
   * Who should run the next job of a model: the owner of the newest one while its heartbeat is fresh, else
   * this node. `null` leaves the job to the node that claims it first.
   */
  async selectOwner(model: string): Promise<OwnerReference | null> {
    const owner = this.heads.newestOf(model)?.record.owner;
    if (owner) await this.services.sessions.refresh();
    if (owner && this.services.sessions.isFresh(owner)) return owner;
    return this.isLeaving ? null : this.self;
  }

  /** Whether jobs of other owners are open. */
  get hasForeignJobs(): boolean {
    return this.heads.openJobs.some((head) => !this.isOwned(head));
  }

  /** Whether this node runs the job and has read what was listed before. */
  isRunning(jobId: string): boolean {
    return this.runs.get(jobId)?.isLoaded ?? false;
  }

  /** Adds a job that this node has just accepted, and runs it if it is the owner. */
  addAccepted(head: JobHead, specification: JobSpecification): void {
    const known = this.heads.get(head.jobId);
    if (known && known.version > head.version) return;
    if (this.isOwned(head)) this.start(head, specification);
    else
      this.report(head, 'accepted here', head.record.owner ? 'owner of the job before' : 'this node leaves');
    this.updateHead(head);
  }

  /** Notes a head, also one that was read or written outside the feed; an older one is ignored. */
  updateHead(head: JobHead): void {
    if (this.heads.set(head, this.services.sessions.observedTimeMs)) this.reconcile(head);
  }

  async readAll() {
    const listing = await this.services.repository.list();
    return listing.map(({ heads, version }) => ({ content: heads, version }));
  }

  replaceAll(content: readonly JobHead[]): void {
    const present = new Set(content.map((head) => head.jobId));
    for (const jobId of this.heads.ids) if (!present.has(jobId)) this.forget(jobId);
    for (const head of content) this.updateHead(head);
  }

  apply(change: ChangedRecord): void {
    if (change.value === undefined) {
      this.forget(change.key);
      return;
    }
    const head = toJobHead({ key: change.key, value: change.value, version: change.version });
    if (head) this.updateHead(head);
  }

  /** Hands all jobs back, with their texts, so that other nodes claim them at once. */
  async releaseAll(): Promise<void> {
    this.isLeaving = true;
    await Promise.all([...this.runs.values()].map((run) => this.releaseRun(run)));
  }

  /**
   * Cancels all runs because the store rejects this node while it serves others: they claim its jobs once its
   * heartbeats are missing, and need the replicas' slots. Jobs that are still its own when the store serves
   * it again are resumed.
   */
  cancelRuns(): void {
    for (const run of this.runs.values()) {
      if (run.isStopped) continue;
      this.report(run.head, 'runs cancelled', 'the store serves other nodes, not this one');
      this.cancelled.add(run.head.jobId);
      run.stop();
    }
  }

  /** Claims nothing from now on. */
  stopClaiming(): void {
    this.isLeaving = true;
  }

  private isOwned(head: JobHead): boolean {
    return isOwnedBy(head.record, this.self);
  }

  private forget(jobId: string): void {
    this.heads.remove(jobId);
    this.runs.get(jobId)?.stop();
    this.services.cache.remove(jobId);
  }

  /** Starts, stops, claims, hands back or removes a job as its new head requires. */
  private reconcile(head: JobHead): void {
    const run = this.runs.get(head.jobId);
    if (run && (!this.isOwned(head) || run.head.record.epoch !== head.record.epoch)) {
      this.report(head, head.record.state === 'ended' ? 'ended' : 'taken by another owner');
      run.stop();
    }
    if (head.record.state === 'ended') this.scheduleRemoval(head);
    else if (!this.isOwned(head)) this.claimer.claimIfAllowed(head);
    else if (this.isLeaving && !run) void this.releaseHead(head);
    else this.start(head, undefined);
  }

  private start(head: JobHead, specification: JobSpecification | undefined): void {
    if (this.runs.has(head.jobId) || this.isLeaving) return;
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
    if (end === 'ownership-lost') void this.refresh(jobId);
    const newest = this.heads.get(jobId);
    if (end === 'stopped' && newest && newest.version !== run.head.version && this.isOwned(newest))
      this.start(newest, undefined);
  }

  /** Reads a head; when that fails the feed brings it later. */
  private async refresh(jobId: string): Promise<void> {
    const found = await this.services.repository.read(jobId);
    if (found.isOk() && found.value) this.updateHead(found.value);
  }

  /** Resumes cancelled jobs that nobody has claimed, now that the store answers. */
  private async resumeCancelled(): Promise<void> {
    for (const jobId of this.cancelled) {
      if (this.runs.has(jobId)) continue;
      this.cancelled.delete(jobId);
      await this.refresh(jobId);
      const head = this.heads.get(jobId);
      if (head && this.isOwned(head)) this.start(head, undefined);
    }
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

  /** Removes an ended job once its results need not be readable any more. */
  private scheduleRemoval(head: JobHead): void {
    if (!shouldRemove(head.record, this.self)) return;
    const ageMs = this.services.store.nowMs() - head.record.acceptedAtMs;
    const delayMs = removalDelayMs(ageMs, this.services.retentionMs());
    setTimeout(() => void this.services.repository.remove(head), delayMs).unref();
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
