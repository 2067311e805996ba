/**
 * Claims jobs that were released or whose owner is lost, and jobs of this process that it must run again. The claim
 * is a conditional write of the head, so exactly one node gets each job, and writes of an earlier run fail; after a
 * conflict the head is read again.
 */
import { monotonicMs, sleep } from '../../../common/clock.js';
import type { JobHead, JobRepository, OwnerReference } from '../../../state/service/jobs/index.js';
import type { SessionMonitor } from '../membership/index.js';
import type { JobHeads } from './job-heads.js';
import { claimReason } from './ownership-policy.js';

/** A claim that times out is retried with the next poll of heartbeats. */
const CLAIM_TIMEOUT_MS = 3_000;
/** Maximum random delay of a claim; reduces conflicts between nodes. */
const MAX_CLAIM_JITTER_MS = 150;

export interface ClaimServices {
  readonly repository: Pick<JobRepository, 'claim'>;
  readonly sessions: Pick<SessionMonitor, 'isLost'>;
  readonly heads: JobHeads;
  readonly isLeaving: () => boolean;
  readonly report: (head: JobHead, change: string, detail: string) => void;
  /** Called with the new head of a claimed job. */
  readonly onClaimed: (head: JobHead) => void;
  /** Reads the head of a job that was changed meanwhile. */
  readonly refresh: (jobId: string) => Promise<void>;
}

export class JobClaimer {
  private readonly claiming = new Set<string>();

  constructor(
    private readonly services: ClaimServices,
    private readonly self: OwnerReference,
  ) {}

  /** Claims an open job that this process does not own, if `claimReason` allows it. */
  claimIfAllowed(head: JobHead): void {
    const { sessions, heads, isLeaving } = this.services;
    if (isLeaving() || this.claiming.has(head.jobId)) return;
    const isLost = (owner: OwnerReference) => sessions.isLost(owner, heads.observedAt(head.jobId));
    const reason = claimReason(head.record.owner, this.self, isLost);
    if (reason !== undefined) void this.claim(head, reason);
  }

  /** Claims an open job of this process again, so that a new run of it excludes late writes of an earlier one. */
  reclaim(head: JobHead, reason: string): void {
    if (!this.services.isLeaving() && !this.claiming.has(head.jobId)) void this.claim(head, reason);
  }

  private async claim(head: JobHead, reason: string): Promise<void> {
    const { repository, heads, isLeaving, report, onClaimed, refresh } = this.services;
    const { jobId } = head;
    this.claiming.add(jobId);
    if (head.record.owner?.node !== this.self.node) await sleep(Math.random() * MAX_CLAIM_JITTER_MS);
    if (heads.get(jobId)?.version === head.version && !isLeaving()) {
      const requestedAtMs = monotonicMs();
      const claimed = await repository.claim(head, this.self, monotonicMs() + CLAIM_TIMEOUT_MS);
      report(head, claimed.isOk() ? 'claimed' : `claim: ${claimed.error.failure}`, reason);
      this.claiming.delete(jobId);
      if (claimed.isOk()) {
        heads.confirmOpen(jobId, requestedAtMs);
        onClaimed(claimed.value);
      } else if (claimed.error.failure === 'conflict') await refresh(jobId);
    }
    this.claiming.delete(jobId);
  }
}
