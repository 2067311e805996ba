/**
 * Calls of submitters about batch jobs: submit, read results by position, read an item's body, end.
 *
 * Relies on the store, and on peers while the store rejects this node (`job-forwarding.ts`). Every call may
 * be repeated: a job is accepted once, results keep their positions, and an ended job stays ended. `unknown`
 * means that a submission may have been accepted; a retry shows it.
 */
import { monotonicMs, sleep } from '../../../common/clock.js';
import type { DecisionLogger } from '../../../common/decision-logger.js';
import type { JobSpecification } from '../../../protocol/service/batch-job.js';
import type {
  EndOutcome,
  ItemOutcome,
  JobCaller,
  JobSubmission,
  ReadOutcome,
  SubmissionOutcome,
} from '../../../protocol/service/job-calls.js';
import {
  belongsTo,
  type JobHead,
  type JobRepository,
  type ResultCache,
  type SubmittedJob,
} from '../../../state/service/jobs/index.js';
import type { StateError } from '../../../state/state-error.js';
import type { JobForwarding } from './job-forwarding.js';
import type { JobOwnership } from './job-ownership.js';
import type { SubmissionParser } from './job-run.js';

/** Longest effort to accept and to end a job, milliseconds. Chosen, not measured. */
const ACCEPT_TIMEOUT_MS = 3_000;
const END_TIMEOUT_MS = 3_000;
/** Interval of reading the store while a reader waits, milliseconds. Chosen, not measured. */
const RESULT_POLL_INTERVAL_MS = 120;
/** Most bytes of a page of results. Chosen, not measured: about one transaction of the store. */
const MAX_PAGE_BYTES = 900_000;

/** Dependencies of the calls. */
export interface JobCallServices {
  readonly repository: JobRepository;
  readonly ownership: JobOwnership;
  readonly cache: ResultCache;
  readonly parseSubmission: SubmissionParser;
  readonly logger: DecisionLogger;
  readonly forwarding: JobForwarding;
  /** Whether the store answers this node; if not, calls that need it fail at once and go to peers. */
  readonly isStoreAnswering: () => boolean;
}

function toSubmittedJob(submission: JobSubmission, tenant: string | undefined): SubmittedJob {
  const { jobId, host, path, body, specification } = submission;
  const { model, items } = specification;
  const tokens = items.reduce((sum, item) => sum + item.tokens, 0);
  return { jobId, host, path, tenant, model, tokens, total: items.length, submission: body };
}

/** `invalid`: another tenant's identifier. Only a failure without effect promises that nothing runs. */
function toSubmissionOutcome({ failure, effect }: StateError): SubmissionOutcome {
  if (failure === 'invalid') return 'foreign';
  return effect === 'none' ? 'not-accepted' : 'unknown';
}

/** The calls of one node. */
export class JobCalls {
  /** The submission that was read last: its items are often read one after the other. */
  private lastSpecification: { jobId: string; specification: JobSpecification } | undefined;

  constructor(private readonly services: JobCallServices) {}

  /** Accepts a job once, however often it is submitted. A retry is safe. */
  async submit(submission: JobSubmission, caller: JobCaller): Promise<SubmissionOutcome> {
    const startedAt = monotonicMs();
    const { jobId } = submission;
    const outcome = await this.services.forwarding.run<SubmissionOutcome>({
      name: 'submit',
      jobId,
      caller,
      runLocally: async () =>
        this.mustFailFast(caller)
          ? 'not-accepted'
          : this.acceptLocally(submission, caller.tenant, startedAt + ACCEPT_TIMEOUT_MS),
      runAtPeer: (peer, address) => peer.submit(address, submission, caller.credential),
      isFinal: (own) => own === 'accepted' || own === 'foreign',
      mergeOutcomes: (own) => (own.every((each) => each === 'not-accepted') ? 'not-accepted' : 'unknown'),
    });
    this.report('submit', jobId, outcome, startedAt);
    return outcome;
  }

  /** Results from `position` on; waits up to `waitMs` milliseconds for the first one. */
  async read(
    jobId: string,
    position: number,
    waitMs: number,
    caller: JobCaller,
    signal: AbortSignal,
  ): Promise<ReadOutcome> {
    const startedAt = monotonicMs();
    const outcome = await this.services.forwarding.run<ReadOutcome>({
      name: 'read',
      jobId,
      caller,
      runLocally: () => this.readPage(jobId, position, startedAt + waitMs, caller, signal),
      runAtPeer: (peer, address) => peer.read(address, jobId, position, caller.credential),
      isFinal: ({ kind }) => kind !== 'unavailable',
      mergeOutcomes: () => ({ kind: 'unavailable' }),
    });
    const detail = outcome.kind === 'page' ? `${outcome.results.length} results` : outcome.kind;
    this.report('read', jobId, detail, startedAt, position);
    return outcome;
  }

  /** The body of an item whose job is open. */
  async item(jobId: string, itemId: string, caller: JobCaller): Promise<ItemOutcome> {
    const startedAt = monotonicMs();
    const outcome = await this.services.forwarding.run<ItemOutcome>({
      name: 'item',
      jobId,
      caller,
      runLocally: () => this.findItem(jobId, itemId, caller),
      runAtPeer: (peer, address) => peer.item(address, jobId, itemId, caller.credential),
      isFinal: ({ kind }) => kind !== 'unavailable',
      mergeOutcomes: () => ({ kind: 'unavailable' }),
    });
    this.report('item', `${jobId}/${itemId}`, outcome.kind, startedAt);
    return outcome;
  }

  /** Ends a job; `unavailable` when it is not certain that it is ended. A retry is safe. */
  async end(jobId: string, caller: JobCaller): Promise<EndOutcome> {
    const startedAt = monotonicMs();
    const outcome = await this.services.forwarding.run<EndOutcome>({
      name: 'end',
      jobId,
      caller,
      runLocally: async () =>
        this.mustFailFast(caller)
          ? 'unavailable'
          : this.endLocally(jobId, caller.tenant, startedAt + END_TIMEOUT_MS),
      runAtPeer: (peer, address) => peer.end(address, jobId, caller.credential),
      isFinal: (own) => own !== 'unavailable',
      mergeOutcomes: () => 'unavailable',
    });
    this.report('end', jobId, outcome, startedAt);
    return outcome;
  }

  /** Whether a forwarded call fails at once, so that its node asks the next peer. */
  private mustFailFast({ isForwarded }: JobCaller): boolean {
    return isForwarded && !this.services.isStoreAnswering();
  }

  private async endLocally(
    jobId: string,
    tenant: string | undefined,
    deadlineMs: number,
  ): Promise<EndOutcome> {
    const ended = await this.services.repository.end(jobId, tenant, deadlineMs);
    if (ended.isErr()) return 'unavailable';
    if (ended.value === undefined) return 'not-found';
    this.services.ownership.updateHead(ended.value);
    return 'ended';
  }

  private async acceptLocally(
    submission: JobSubmission,
    tenant: string | undefined,
    deadlineMs: number,
  ): Promise<SubmissionOutcome> {
    const { jobId, specification } = submission;
    const known = this.services.ownership.heads.get(jobId);
    if (known && !belongsTo(known, tenant)) return 'foreign';
    if ((known?.record.total ?? 0) > 0) return 'accepted';
    const owner = await this.services.ownership.selectOwner(specification.model);
    const accepted = await this.services.repository.accept(
      toSubmittedJob(submission, tenant),
      owner,
      deadlineMs,
    );
    if (accepted.isErr()) return toSubmissionOutcome(accepted.error);
    const { head, isNew } = accepted.value;
    if (isNew) this.services.ownership.addAccepted(head, specification);
    else this.services.ownership.updateHead(head);
    return 'accepted';
  }

  /** The head of a job of the caller's tenant. */
  private async findHead(
    jobId: string,
    { tenant }: JobCaller,
  ): Promise<JobHead | 'not-found' | 'unavailable'> {
    const head = await this.findHeadOfAnyTenant(jobId);
    return typeof head === 'string' || belongsTo(head, tenant) ? head : 'not-found';
  }

  private async findHeadOfAnyTenant(jobId: string): Promise<JobHead | 'not-found' | 'unavailable'> {
    const known = this.services.ownership.heads.get(jobId);
    if (known) return known;
    if (!this.services.isStoreAnswering()) return 'unavailable';
    const found = await this.services.repository.read(jobId);
    if (found.isErr()) return 'unavailable';
    return found.value ?? 'not-found';
  }

  private async readPage(
    jobId: string,
    position: number,
    untilMs: number,
    caller: JobCaller,
    signal: AbortSignal,
  ): Promise<ReadOutcome> {
    const head = await this.findHead(jobId, caller);
    if (typeof head === 'string') return { kind: head };
    const { total } = head.record;
    if (total === 0) return { kind: 'not-found' };
    for (;;) {
      const results = await this.resultsFrom(jobId, position, total);
      if (results === undefined) return { kind: 'unavailable' };
      const isOver = monotonicMs() >= untilMs || position >= total || signal.aborted;
      if (results.length > 0 || isOver)
        return { kind: 'page', total, next: position + results.length, results };
      await this.waitForResults(jobId, Math.min(RESULT_POLL_INTERVAL_MS, untilMs - monotonicMs()), signal);
    }
  }

  private async resultsFrom(
    jobId: string,
    position: number,
    total: number,
  ): Promise<readonly string[] | undefined> {
    const { cache, repository, ownership } = this.services;
    const cached = cache.read(jobId, position, MAX_PAGE_BYTES);
    if (cached.length > 0 || position >= total) return cached;
    if (ownership.isRunning(jobId)) return [];
    if (!this.services.isStoreAnswering()) return undefined;
    const page = await repository.contents.results(jobId, position);
    if (page.isErr()) return undefined;
    cache.append(jobId, position, page.value);
    return page.value;
  }

  private async waitForResults(jobId: string, waitMs: number, signal: AbortSignal): Promise<void> {
    const controller = new AbortController();
    const stopListening = this.services.cache.subscribe(jobId, () => controller.abort());
    const onAbort = () => controller.abort();
    signal.addEventListener('abort', onAbort, { once: true });
    await sleep(Math.max(1, waitMs), controller.signal);
    signal.removeEventListener('abort', onAbort);
    stopListening();
  }

  private async findItem(jobId: string, itemId: string, caller: JobCaller): Promise<ItemOutcome> {
    const head = await this.findHead(jobId, caller);
    if (typeof head === 'string') return { kind: head };
    const specification = await this.specificationOf(head);
    if (typeof specification === 'string') return { kind: specification };
    const item = specification.items.find((candidate) => candidate.id === itemId);
    return item ? { kind: 'found', body: item.body } : { kind: 'not-found' };
  }

  private async specificationOf(head: JobHead): Promise<JobSpecification | 'not-found' | 'unavailable'> {
    const { jobId } = head;
    if (this.lastSpecification?.jobId === jobId) return this.lastSpecification.specification;
    if (head.record.total === 0) return 'not-found';
    if (!this.services.isStoreAnswering()) return 'unavailable';
    const submission = await this.services.repository.contents.submission(head);
    if (submission.isErr()) return 'unavailable';
    const specification = this.services.parseSubmission(submission.value);
    if (!specification) return 'unavailable';
    this.lastSpecification = { jobId, specification };
    return specification;
  }

  private report(
    call: 'submit' | 'read' | 'item' | 'end',
    jobId: string,
    outcome: string,
    startedAt: number,
    position?: number,
  ): void {
    const tookMs = Math.round(monotonicMs() - startedAt);
    this.services.logger.record({ event: 'job-call-answered', call, jobId, outcome, tookMs, position });
  }
}
