/**
 * Runs one job as its owner: generates, scores and lists the items that have no listed result yet, the longest
 * first. Texts are stored periodically for a later owner. A write that the store rejects ends the run, mostly
 * because the job has another owner; while the store does not answer, generation continues.
 */
import { setMaxListeners } from 'node:events';
import { monotonicMs, sleep } from '../../../common/clock.js';
import { groupBy } from '../../../common/collections.js';
import type { DecisionLogger } from '../../../common/decision-logger.js';
import type {
  JobItem,
  JobResult,
  JobSpecification,
  PartialText,
} from '../../../protocol/service/batch-job.js';
import type { Route } from '../../../protocol/service/routing-configuration.js';
import { type JobHead, type JobRepository, parseListedResult } from '../../../state/service/jobs/index.js';
import type { ReplicaState } from '../../../state/service/replicas/index.js';
import { DesiredGroups } from './desired-groups.js';
import { ItemRun } from './item-run.js';
import type { ItemJob, ItemServices } from './item-services.js';
import type { JobHeads } from './job-heads.js';
import { type ListedJob, type ListerServices, ResultLister } from './result-lister.js';

/** Interval of storing texts, which bounds the work lost when the owner crashes. */
const SAVE_INTERVAL_MS = 400;
/** Backoff between reads of the job while the store does not answer. */
const INITIAL_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 500;

/** Parses a submission; `undefined` when it is malformed. */
export type SubmissionParser = (submission: Buffer) => JobSpecification | undefined;

export interface JobRunServices extends ItemServices, ListerServices {
  readonly repository: JobRepository;
  /** Heads of all jobs, whoever owns them. */
  readonly heads: JobHeads;
  readonly logger: DecisionLogger;
  readonly parseSubmission: SubmissionParser;
}

/** `unreadable`: the store has no valid submission of the job. */
export type JobRunEnd = 'finished' | 'stopped' | 'write-rejected' | 'unreadable';

interface LoadedJob {
  readonly specification: JobSpecification;
  /** Number of listed results; an unreadable one keeps its position, and its item is listed again. */
  readonly listedCount: number;
  readonly listedIds: ReadonlySet<string>;
  readonly texts: ReadonlyMap<string, PartialText>;
}

export class JobRun {
  private readonly controller = new AbortController();
  /** Runs of items without a listed result, whose texts are stored for a later owner, by item ID. */
  private readonly unlistedRuns = new Map<string, ItemRun>();
  private readonly startedAtMs = monotonicMs();
  private hasLoaded = false;

  constructor(
    private readonly services: JobRunServices,
    readonly head: JobHead,
    private readonly initialAgeMs: number,
    private readonly knownSpecification?: JobSpecification,
  ) {
    setMaxListeners(0, this.controller.signal);
  }

  /** Number of items without a listed result. */
  get openItems(): number {
    return this.unlistedRuns.size;
  }

  /** Time since the job was accepted, milliseconds. */
  get ageMs(): number {
    return this.initialAgeMs + monotonicMs() - this.startedAtMs;
  }

  /** Whether the results listed by earlier owners have been read. */
  get isLoaded(): boolean {
    return this.hasLoaded;
  }

  get isStopped(): boolean {
    return this.controller.signal.aborted;
  }

  /** Stops at once: streams are closed, and no more results are listed. */
  stop(): void {
    this.controller.abort();
  }

  /** Stores new texts for a later owner. After a failure, the next call stores them. */
  async saveTexts(): Promise<void> {
    const texts = new Map<string, PartialText>();
    for (const [id, run] of this.unlistedRuns) if (run.text.hasUnsaved) texts.set(id, run.text.toPartial());
    if (texts.size === 0) return;
    const requestedAtMs = monotonicMs();
    const saved = await this.services.repository.contents.saveTexts(this.head, texts);
    if (saved.isErr()) {
      if (saved.error.failure === 'lease-lost') this.stop();
      return;
    }
    this.services.heads.confirmOpen(this.head.jobId, requestedAtMs);
    for (const id of saved.value)
      this.unlistedRuns.get(id)?.text.markSaved(texts.get(id)?.events.length ?? 0);
  }

  /** Runs until all results are listed or the run is stopped. Never rejects. */
  async run(): Promise<JobRunEnd> {
    const loaded = await this.load();
    if (!loaded) return this.controller.signal.aborted ? 'stopped' : 'unreadable';
    this.hasLoaded = true;
    this.reportPlan(loaded);
    const acceptedAtMs = monotonicMs() - this.initialAgeMs;
    const lister = this.createLister(loaded, acceptedAtMs);
    this.startItems(loaded, acceptedAtMs, lister);
    const saving = this.savePeriodically();
    const unreadableCount = loaded.listedCount - loaded.listedIds.size;
    const areListed = await lister.run(loaded.specification.items.length + unreadableCount);
    const wasStopped = this.controller.signal.aborted;
    this.stop();
    await saving;
    if (!areListed) return 'write-rejected';
    return wasStopped ? 'stopped' : 'finished';
  }

  private createLister({ listedCount }: LoadedJob, acceptedAtMs: number): ResultLister {
    const listed: ListedJob = {
      head: this.head,
      listedCount,
      acceptedAtMs,
      dueAgeMs: () => this.route?.resultDeadlineMs ?? 0,
      onListed: (itemId) => this.unlistedRuns.delete(itemId),
    };
    return new ResultLister(this.services, listed, this.controller.signal);
  }

  /** Starts all items without a listed result, the longest first. */
  private startItems(loaded: LoadedJob, acceptedAtMs: number, lister: ResultLister): void {
    const { specification, listedIds, texts } = loaded;
    const { jobId, record } = this.head;
    const job: ItemJob = {
      jobId,
      host: record.host,
      path: record.path,
      tenant: record.tenant,
      specification,
      acceptedAtMs,
      groupReplicas: new Map(),
      signal: this.controller.signal,
    };
    const { items, desiredGroups } = specification;
    const { lengths } = this.services;
    const groups = new DesiredGroups(items, desiredGroups, (item) => lengths.isUnfinished(item));
    const list = (item: JobItem, result: JobResult) => {
      groups.recordResult(item);
      lister.add(result, groups.areComplete || result.state === 'dead');
    };
    for (const item of items) if (listedIds.has(item.id)) groups.recordResult(item);
    for (const item of lengths.sortLongestFirst(items))
      if (!listedIds.has(item.id)) void this.runItem(job, item, texts.get(item.id), list);
  }

  private async runItem(
    job: ItemJob,
    item: JobItem,
    stored: PartialText | undefined,
    list: (item: JobItem, result: JobResult) => void,
  ): Promise<void> {
    const run = new ItemRun(this.services, job, item, stored);
    this.unlistedRuns.set(item.id, run);
    const result = await run.run();
    if (!result) this.services.lengths.recordUnfinished(item, run.text.eventCount);
    else if (!this.controller.signal.aborted) list(item, result);
  }

  private async savePeriodically(): Promise<void> {
    const { signal } = this.controller;
    while (!signal.aborted) {
      await sleep(SAVE_INTERVAL_MS, signal);
      if (!signal.aborted) await this.saveTexts();
    }
  }

  private reportPlan({ specification, listedIds, texts }: LoadedJob): void {
    const { model, minVersion, desiredGroups, items } = specification;
    const groups = groupBy(items, ({ group }) => group);
    const states = this.replicas();
    this.services.logger.record({
      event: 'job-planned',
      jobId: this.head.jobId,
      model,
      minVersion,
      items: items.length,
      groupSize: Math.max(0, ...[...groups.values()].map((group) => group.length)),
      wantedGroups: desiredGroups,
      listed: listedIds.size,
      keptTexts: texts.size,
      slots: this.slotsOf(states),
      fittingSlots: this.slotsOf(states.filter((state) => state.versionOf(model) >= minVersion)),
      ageMs: Math.round(this.ageMs),
    });
  }

  /** Available replicas of the services of the job's route. */
  private replicas(): ReplicaState[] {
    const targets = this.route?.targets ?? [];
    return targets.flatMap(({ service }) => this.services.directory.availableOf(service));
  }

  /** The job's route in the current configuration. */
  private get route(): Route | undefined {
    const { host, path } = this.head.record;
    return this.services.routing.current?.match(host, path);
  }

  private slotsOf(states: readonly ReplicaState[]): number {
    const snapshot = this.services.routing.current;
    return states.reduce((sum, state) => sum + (snapshot?.slotsOf(state.replica) ?? 0), 0);
  }

  /** Reads the job, retrying until the store answers. Resolves to `undefined` if stopped or unreadable. */
  private async load(): Promise<LoadedJob | undefined> {
    if (this.knownSpecification)
      return {
        specification: this.knownSpecification,
        listedCount: 0,
        listedIds: new Set(),
        texts: new Map(),
      };
    let backoffMs = INITIAL_BACKOFF_MS;
    while (!this.controller.signal.aborted) {
      const loaded = await this.tryLoad();
      if (loaded !== 'unavailable') return loaded;
      await sleep(backoffMs, this.controller.signal);
      backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
    }
    return undefined;
  }

  private async tryLoad(): Promise<LoadedJob | undefined | 'unavailable'> {
    const { repository, parseSubmission, cache } = this.services;
    const [submission, results, texts] = await Promise.all([
      repository.contents.submission(this.head),
      repository.contents.allResults(this.head.jobId),
      repository.contents.texts(this.head.jobId),
    ]);
    if (submission.isErr() || results.isErr() || texts.isErr()) return 'unavailable';
    const specification = parseSubmission(submission.value);
    if (!specification) return undefined;
    cache.append(this.head.jobId, 0, results.value);
    const listedIds = new Set(results.value.flatMap((result) => parseListedResult(result)?.id ?? []));
    return { specification, listedCount: results.value.length, listedIds, texts: texts.value };
  }
}
