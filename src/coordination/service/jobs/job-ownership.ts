/**
 * Ownership of jobs. Every node follows the heads of all jobs. The node that accepts a job gives it to the owner of the
 * model's job before, which has connections to the replicas and knows their work, or keeps it. A job whose owner is
 * lost, or has handed it back, is claimed in a transaction on its head, so that one node gets it. A new process on the
 * owner's machine knows that its former self is dead and claims at once.
 */
import { monotonicMs, sleep } from '../../../common/clock.js';
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
import { JobRun, type JobRunEnd, type JobRunServices } from './job-run.js';

const CLAIM_EFFORT_MS = 3_000;
/** Nodes claim within this time of each other, so that one mostly comes first, milliseconds. */
const CLAIM_SPREAD_MS = 150;
const RELEASE_EFFORT_MS = 1_000;
/** How long a process goes on beating after its last job, so that the next one may be given to it, milliseconds. */
const WARM_MS = 10_000;
/** Time over which the demand for a model is counted, milliseconds. */
const DEMAND_MS = 30_000;

/** What the owner works with. */
export interface JobOwnerServices extends JobRunServices {
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
  private readonly heads = new Map<string, JobHead>();
  /** Observed time at which each head was learnt, milliseconds. */
  private readonly learntAtMs = new Map<string, number>();
  private readonly runs = new Map<string, JobRun>();
  private readonly claiming = new Set<string>();
  /** Jobs whose runs were given up while the store did not serve this node. */
  private readonly givenUp = new Set<string>();
  private isLeaving = false;
  private lastOwnedMs = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly services: JobOwnerServices,
    private readonly self: OwnerReference,
  ) {
    services.sessions.onPoll(() => {
      this.claimLost();
      void this.resume();
    });
  }

  /** Jobs that this node runs. */
  get ownedCount(): number {
    return this.runs.size;
  }

  /** Items of the jobs run here that are not finished. */
  get openItems(): number {
    let count = 0;
    for (const run of this.runs.values()) count += run.openItems;
    return count;
  }

  /** Age of the oldest job run here, milliseconds; 0 without one. */
  get oldestAgeMs(): number {
    return Math.max(0, ...[...this.runs.values()].map((run) => run.ageMs));
  }

  /** Whether this node runs jobs or ran one lately, so that others may give it the next. */
  get isWarm(): boolean {
    return this.runs.size > 0 || monotonicMs() - this.lastOwnedMs < WARM_MS;
  }

  /**
   * Who should run the next job of a model: the owner of the newest one if it is at work, else this node. `null` leaves
   * the job to whoever claims it first.
   */
  async ownerForNext(model: string): Promise<OwnerReference | null> {
    const owner = this.newestOf(model)?.record.owner;
    if (owner) await this.services.sessions.refresh();
    if (owner && this.services.sessions.isFresh(owner)) return owner;
    return this.isLeaving ? null : this.self;
  }

  /** Whether jobs of others are open. */
  get hasForeignJobs(): boolean {
    for (const head of this.heads.values())
      if (head.record.state === 'open' && head.record.owner?.life !== this.self.life) return true;
    return false;
  }

  /** Owners of open jobs. */
  get owners(): OwnerReference[] {
    const owners: OwnerReference[] = [];
    for (const { record } of this.heads.values())
      if (record.state === 'open' && record.owner) owners.push(record.owner);
    return owners;
  }

  /** Tokens of the jobs of a model that were accepted lately. */
  demandOf(model: string): number {
    const sinceMs = this.services.store.nowMs() - DEMAND_MS;
    let tokens = 0;
    for (const { record } of this.heads.values())
      if (record.model === model && record.acceptedAtMs >= sinceMs) tokens += record.tokens;
    return tokens;
  }

  /** Items of the largest job of a model that was accepted lately; 0 without one. */
  requestsOf(model: string): number {
    const sinceMs = this.services.store.nowMs() - DEMAND_MS;
    let largest = 0;
    for (const { record } of this.heads.values())
      if (record.model === model && record.acceptedAtMs >= sinceMs) largest = Math.max(largest, record.total);
    return largest;
  }

  /** Whether this node runs the job and has read what was listed before. */
  isRunning(jobId: string): boolean {
    return this.runs.get(jobId)?.isLoaded ?? false;
  }

  /** The head of a job as last seen. */
  known(jobId: string): JobHead | undefined {
    return this.heads.get(jobId);
  }

  /** Takes a job that this node has just accepted. */
  adopt(head: JobHead, specification: JobSpecification): void {
    const known = this.heads.get(head.jobId);
    if (known && known.version > head.version) return;
    if (this.isMine(head)) this.start(head, specification);
    else
      this.report(head, 'accepted here', head.record.owner ? 'owner of the job before' : 'this node leaves');
    this.note(head);
  }

  /** Takes a head that was read or written outside the feed. */
  note(head: JobHead): void {
    const known = this.heads.get(head.jobId);
    if (known && known.version >= head.version) return;
    this.heads.set(head.jobId, head);
    this.learntAtMs.set(head.jobId, this.services.sessions.observedTimeMs);
    this.reconcile(head);
  }

  async readAll() {
    const listing = await this.services.repository.list();
    return listing.map(({ heads, version }) => ({ content: heads, version }));
  }

  replaceAll(content: readonly JobHead[]): void {
    const present = new Set(content.map((head) => head.jobId));
    for (const jobId of [...this.heads.keys()]) if (!present.has(jobId)) this.forget(jobId);
    for (const head of content) this.note(head);
  }

  apply(change: ChangedRecord): void {
    if (change.value === undefined) {
      this.forget(change.key);
      return;
    }
    const head = toJobHead({ key: change.key, value: change.value, version: change.version });
    if (head) this.note(head);
  }

  /** Hands all jobs back, with the texts so far, so that other nodes go on at once. */
  async handOver(): Promise<void> {
    this.isLeaving = true;
    await Promise.all([...this.runs.values()].map((run) => this.release(run)));
  }

  /**
   * Stops what runs here, for others are served by the store and this node is not: they take its jobs over once they miss its
   * beats, and need the replicas' slots. It goes on with jobs that are still its own when the store serves it again.
   */
  cancelRuns(): void {
    for (const run of this.runs.values()) {
      if (run.isStopped) continue;
      this.report(run.head, 'given up', 'the store serves other nodes, not this one');
      this.givenUp.add(run.head.jobId);
      run.stop();
    }
  }

  /** Claims nothing from now on. */
  stopClaiming(): void {
    this.isLeaving = true;
  }

  private newestOf(model: string): JobHead | undefined {
    let newest: JobHead | undefined;
    for (const head of this.heads.values())
      if (head.record.model === model && head.record.acceptedAtMs >= (newest?.record.acceptedAtMs ?? 0))
        newest = head;
    return newest;
  }

  private isMine(head: JobHead): boolean {
    return head.record.state === 'open' && head.record.owner?.life === this.self.life;
  }

  private forget(jobId: string): void {
    this.heads.delete(jobId);
    this.learntAtMs.delete(jobId);
    this.runs.get(jobId)?.stop();
    this.services.cache.forget(jobId);
  }

  /** Brings what runs here into line with a head. */
  private reconcile(head: JobHead): void {
    const run = this.runs.get(head.jobId);
    if (run && (!this.isMine(head) || run.head.record.epoch !== head.record.epoch)) {
      this.report(head, head.record.state === 'ended' ? 'ended' : 'taken by another owner');
      run.stop();
    }
    if (head.record.state === 'ended') this.scheduleRemoval(head);
    else if (!this.isMine(head)) this.considerClaim(head);
    else if (this.isLeaving && !run) void this.handBack(head);
    else this.start(head, undefined);
  }

  private start(head: JobHead, specification: JobSpecification | undefined): void {
    if (this.runs.has(head.jobId) || this.isLeaving) return;
    const ageMs = Math.max(0, this.services.store.nowMs() - head.record.acceptedAtMs);
    const run = new JobRun(this.services, head, ageMs, specification);
    this.runs.set(head.jobId, run);
    this.services.sessions.noteHolding();
    this.services.metrics.ownedJobs.set({}, this.runs.size);
    this.report(head, 'running', `age ${Math.round(ageMs)} ms`);
    void run.run().then((end) => this.finished(run, end));
  }

  private finished(run: JobRun, end: JobRunEnd): void {
    const { jobId } = run.head;
    if (this.runs.get(jobId) === run) this.runs.delete(jobId);
    this.lastOwnedMs = monotonicMs();
    this.services.metrics.ownedJobs.set({}, this.runs.size);
    this.report(run.head, end);
    if (end === 'ownership-lost') void this.refresh(jobId);
    const newest = this.heads.get(jobId);
    if (end === 'stopped' && newest && newest.version !== run.head.version && this.isMine(newest))
      this.start(newest, undefined);
  }

  private async refresh(jobId: string): Promise<void> {
    const found = await this.services.repository.read(jobId);
    if (found.isOk() && found.value) this.note(found.value);
  }

  private claimLost(): void {
    for (const head of this.heads.values())
      if (head.record.state === 'open' && !this.isMine(head)) this.considerClaim(head);
  }

  /** Goes on with jobs that were given up and that nobody has taken over, now that the store answers. */
  private async resume(): Promise<void> {
    for (const jobId of this.givenUp) {
      if (this.runs.has(jobId)) continue;
      this.givenUp.delete(jobId);
      await this.refresh(jobId);
      const head = this.heads.get(jobId);
      if (head && this.isMine(head)) this.start(head, undefined);
    }
  }

  private considerClaim(head: JobHead): void {
    const { owner } = head.record;
    if (this.isLeaving || this.claiming.has(head.jobId)) return;
    if (owner === null) void this.claim(head, 'handed back');
    else if (owner.node === this.self.node) void this.claim(head, 'my former self');
    else if (this.isLost(head.jobId, owner)) void this.claim(head, `${owner.node} is lost`);
  }

  private isLost(jobId: string, owner: OwnerReference): boolean {
    return this.services.sessions.isLost(owner, this.learntAtMs.get(jobId) ?? 0);
  }

  private async claim(head: JobHead, reason: string): Promise<void> {
    this.claiming.add(head.jobId);
    if (head.record.owner?.node !== this.self.node) await sleep(Math.random() * CLAIM_SPREAD_MS);
    if (this.heads.get(head.jobId)?.version === head.version && !this.isLeaving) {
      const deadline = monotonicMs() + CLAIM_EFFORT_MS;
      const claimed = await this.services.repository.claim(head, this.self, deadline);
      this.report(head, claimed.isOk() ? 'claimed' : `claim: ${claimed.error.failure}`, reason);
      this.claiming.delete(head.jobId);
      if (claimed.isOk()) this.note(claimed.value);
      else if (claimed.error.failure === 'conflict') await this.refresh(head.jobId);
    }
    this.claiming.delete(head.jobId);
  }

  private async release(run: JobRun): Promise<void> {
    await run.keepTexts();
    run.stop();
    await this.handBack(run.head);
  }

  private async handBack(head: JobHead): Promise<void> {
    const released = await this.services.repository.release(head, monotonicMs() + RELEASE_EFFORT_MS);
    this.report(head, released.isOk() ? 'handed back' : `hand back: ${released.error.failure}`);
  }

  /** The last owner removes a job once its results are no longer owed. */
  private scheduleRemoval(head: JobHead): void {
    if (head.record.owner !== null && head.record.owner.node !== this.self.node) return;
    const ageMs = this.services.store.nowMs() - head.record.acceptedAtMs;
    const retentionMs = this.services.retentionMs();
    const delayMs = Math.max(0, retentionMs - ageMs) + retentionMs / 4;
    const timer = setTimeout(() => void this.services.repository.remove(head), delayMs);
    timer.unref();
  }

  private report(head: JobHead, change: string, detail?: string): void {
    this.services.logger.record({
      event: 'job-changed',
      jobId: head.jobId,
      change,
      owner: head.record.owner ? `${head.record.owner.node}/${head.record.owner.life}` : 'none',
      epoch: head.record.epoch,
      recordVersion: head.version,
      detail,
    });
  }
}
