/**
 * Calls of submitters about batch jobs: submit, read results by position, read the body of an item, end.
 *
 * Every call may be repeated: a job is accepted once, results keep their positions, and an ended job stays
 * ended. Calls are forwarded to peers while the store rejects this node (`job-forwarding.ts`). The outcome
 * `unknown` means that a submission may have been accepted; the submitter finds out by a retry.
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
  takePage,
} from '../../../state/service/jobs/index.js';
import type { StateError } from '../../../state/state-error.js';
import type { JobForwarding } from './job-forwarding.js';
import type { JobOwnership } from './job-ownership.js';
import type { SubmissionParser } from './job-run.js';

const ACCEPT_TIMEOUT_MS = 3_000;
const END_TIMEOUT_MS = 3_000;
/** Interval of reads from the store while a reader waits for results. */
const RESULT_POLL_INTERVAL_MS = 120;
/** Callers expect 1 MB at most. */
const MAX_PAGE_BYTES = 900_000;

export interface JobCallServices {
  readonly repository: JobRepository;
  readonly ownership: JobOwnership;
  readonly cache: ResultCache;
  readonly parseSubmission: SubmissionParser;
  readonly logger: DecisionLogger;
  readonly forwarding: JobForwarding;
  /** Whether the store answers this node; if not, calls that need it fail at once and are forwarded. */
  readonly isStoreAnswering: () => boolean;
}

function toSubmittedJob(submission: JobSubmission, tenant: string | undefined): SubmittedJob {
  const { jobId, host, path, body, specification } = submission;
  const { model, items } = specification;
  const tokens = items.reduce((sum, item) => sum + item.tokens, 0);
  return { jobId, host, path, tenant, model, tokens, total: items.length, submission: body };
}

/** `invalid`: the job ID is in use by another tenant. Only a failure without effect rules out acceptance. */
function toSubmissionOutcome({ failure, effect }: StateError): SubmissionOutcome {
  if (failure === 'invalid') return 'foreign';
  return effect === 'none' ? 'not-accepted' : 'unknown';
}

export class JobCalls {
  /** Most recently read submission, cached since its items are often read in succession. */
  private lastSpecification: { jobId: string; specification: JobSpecification } | undefined;

  constructor(private readonly services: JobCallServices) {}

  /** Accepts a job; idempotent, so a retry is safe. */
  async submit(submission: JobSubmission, caller: JobCaller): Promise<SubmissionOutcome> {
    const startedAtMs = monotonicMs();
    const { jobId } = submission;
    const outcome = await this.services.forwarding.run<SubmissionOutcome>({
      name: 'submit',
      jobId,
      caller,
      runLocally: async () =>
        this.mustFailFast(caller)
          ? 'not-accepted'
          : this.acceptLocally(submission, caller.tenant, startedAtMs + ACCEPT_TIMEOUT_MS),
      runAtPeer: (peer, address) => peer.submit(address, submission, caller.credential),
      isFinal: (outcome) => outcome === 'accepted' || outcome === 'foreign',
      mergeOutcomes: (all) => (all.every((each) => each === 'not-accepted') ? 'not-accepted' : 'unknown'),
    });
    this.report('submit', jobId, outcome, startedAtMs);
    return outcome;
  }

  /** Reads the results from `position` on; waits up to `waitMs` milliseconds for the first one. */
  async read(
    jobId: string,
    position: number,
    waitMs: number,
    caller: JobCaller,
    signal: AbortSignal,
  ): Promise<ReadOutcome> {
    const startedAtMs = monotonicMs();
    const outcome = await this.services.forwarding.run<ReadOutcome>({
      name: 'read',
      jobId,
      caller,
      runLocally: () => this.readPage(jobId, position, startedAtMs + waitMs, caller, signal),
      runAtPeer: (peer, address) => peer.read(address, jobId, position, caller.credential),
      isFinal: ({ kind }) => kind !== 'unavailable',
      mergeOutcomes: () => ({ kind: 'unavailable' }),
    });
    const detail = outcome.kind === 'page' ? `${outcome.results.length} results` : outcome.kind;
    this.report('read', jobId, detail, startedAtMs, position);
    return outcome;
  }

  /** Reads the body of an item whose job is open. */
  async item(jobId: string, itemId: string, caller: JobCaller): Promise<ItemOutcome> {
    const startedAtMs = monotonicMs();
    const outcome = await this.services.forwarding.run<ItemOutcome>({
      name: 'item',
      jobId,
      caller,
      runLocally: () => this.findItem(jobId, itemId, caller),
      runAtPeer: (peer, address) => peer.item(address, jobId, itemId, caller.credential),
      isFinal: ({ kind }) => kind !== 'unavailable',
      mergeOutcomes: () => ({ kind: 'unavailable' }),
    });
    this.report('item', `${jobId}/${itemId}`, outcome.kind, startedAtMs);
    return outcome;
  }

  /** Ends a job. `unavailable`: it is uncertain whether the job was ended; a retry is safe. */
  async end(jobId: string, caller: JobCaller): Promise<EndOutcome> {
    const startedAtMs = monotonicMs();
    const outcome = await this.services.forwarding.run<EndOutcome>({
      name: 'end',
      jobId,
      caller,
      runLocally: async () =>
        this.mustFailFast(caller)
          ? 'unavailable'
          : this.endLocally(jobId, caller.tenant, startedAtMs + END_TIMEOUT_MS),
      runAtPeer: (peer, address) => peer.end(address, jobId, caller.credential),
      isFinal: (outcome) => outcome !== 'unavailable',
      mergeOutcomes: () => 'unavailable',
    });
    this.report('end', jobId, outcome, startedAtMs);
    return outcome;
  }

  /** Whether a forwarded call must fail at once, so that the forwarding node tries the next peer. */
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
    const requestedAtMs = monotonicMs();
    const accepted = await this.services.repository.accept(
      toSubmittedJob(submission, tenant),
      owner,
      deadlineMs,
    );
    if (accepted.isErr()) return toSubmissionOutcome(accepted.error);
    const { head, isNew } = accepted.value;
    if (isNew) this.services.ownership.addAccepted(head, specification, requestedAtMs);
    else this.services.ownership.updateHead(head);
    return 'accepted';
  }

  /** Finds a job's head; jobs of other tenants are `not-found`. */
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
    deadlineMs: number,
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
      const isDone = monotonicMs() >= deadlineMs || position >= total || signal.aborted;
      if (results.length > 0 || isDone)
        return { kind: 'page', total, next: position + results.length, results };
      await this.waitForResults(jobId, Math.min(RESULT_POLL_INTERVAL_MS, deadlineMs - monotonicMs()), signal);
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
    return takePage(page.value, MAX_PAGE_BYTES);
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
    startedAtMs: number,
    position?: number,
  ): void {
    const tookMs = Math.round(monotonicMs() - startedAtMs);
    this.services.logger.record({ event: 'job-call-answered', call, jobId, outcome, tookMs, position });
  }
}
