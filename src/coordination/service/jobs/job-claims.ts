/**
 * Claims jobs whose owner is lost, or that were handed back, in a transaction on the head, so that one node
 * gets each. A conflict shows that another node was first: its head is read and noted.
 */
import { monotonicMs, sleep } from '../../../common/clock.js';
import type { JobHead, JobRepository, OwnerReference } from '../../../state/service/jobs/index.js';
import type { SessionMonitor } from '../membership/index.js';
import type { JobHeads } from './job-heads.js';
import { claimReason } from './ownership-policy.js';

/** Longest effort of a claim, milliseconds. Chosen, not measured: the next poll of heartbeats tries again. */
const CLAIM_TIMEOUT_MS = 3_000;
/** Longest random delay of a claim, ms, so that mostly one node comes first. Chosen, not measured. */
const MAX_CLAIM_JITTER_MS = 150;

/** Dependencies of claims. */
export interface ClaimServices {
  readonly repository: Pick<JobRepository, 'claim'>;
  readonly sessions: Pick<SessionMonitor, 'isLost'>;
  readonly heads: JobHeads;
  readonly isLeaving: () => boolean;
  readonly report: (head: JobHead, change: string, detail: string) => void;
  /** Takes the head of a job that is now this node's. */
  readonly onClaimed: (head: JobHead) => void;
  /** Reads the head of a job that another node claimed first. */
  readonly refresh: (jobId: string) => Promise<void>;
}

/** The claims of one node. */
export class JobClaimer {
  private readonly claiming = new Set<string>();

  constructor(
    private readonly services: ClaimServices,
    private readonly self: OwnerReference,
  ) {}

  /** Claims an open job that is not this node's, if it may. */
  claimIfAllowed(head: JobHead): void {
    const { sessions, heads, isLeaving } = this.services;
    if (isLeaving() || this.claiming.has(head.jobId)) return;
    const isLost = (owner: OwnerReference) => sessions.isLost(owner, heads.observedAt(head.jobId));
    const reason = claimReason(head.record.owner, this.self, isLost);
    if (reason !== undefined) void this.claim(head, reason);
  }

  private async claim(head: JobHead, reason: string): Promise<void> {
    const { repository, heads, isLeaving, report, onClaimed, refresh } = this.services;
    const { jobId } = head;
    this.claiming.add(jobId);
    if (head.record.owner?.node !== this.self.node) await sleep(Math.random() * MAX_CLAIM_JITTER_MS);
    if (heads.get(jobId)?.version === head.version && !isLeaving()) {
      const claimed = await repository.claim(head, this.self, monotonicMs() + CLAIM_TIMEOUT_MS);
      report(head, claimed.isOk() ? 'claimed' : `claim: ${claimed.error.failure}`, reason);
      this.claiming.delete(jobId);
      if (claimed.isOk()) onClaimed(claimed.value);
      else if (claimed.error.failure === 'conflict') await refresh(jobId);
    }
    this.claiming.delete(jobId);
  }
}
