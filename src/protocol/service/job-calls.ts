/** Calls about batch jobs and their outcomes, as nodes accept and forward them. */
import type { JobSpecification } from './batch-job.js';

export interface JobCaller {
  /** Tenant of the caller's key; `undefined` without a key, or where there are no tenants. */
  readonly tenant: string | undefined;
  /** The caller's credential, which a node that gets the forwarded call checks again. */
  readonly credential: string | undefined;
  /** Whether another node forwarded the call; it is not forwarded again. */
  readonly isForwarded: boolean;
}

export interface JobSubmission {
  readonly jobId: string;
  readonly host: string;
  readonly path: string;
  readonly body: Buffer;
  readonly specification: JobSpecification;
}

/** Nothing of the job runs unless `accepted` or `unknown`. `foreign`: the ID belongs to another tenant. */
export type SubmissionOutcome = 'accepted' | 'not-accepted' | 'foreign' | 'unknown';

export type EndOutcome = 'ended' | 'not-found' | 'unavailable';

export type ReadOutcome =
  | {
      readonly kind: 'page';
      readonly total: number;
      readonly next: number;
      /** Each result as JSON text. */
      readonly results: readonly string[];
    }
  | { readonly kind: 'not-found' }
  | { readonly kind: 'unavailable' };

export type ItemOutcome =
  | { readonly kind: 'found'; readonly body: Buffer }
  | { readonly kind: 'not-found' }
  | { readonly kind: 'unavailable' };

/** Forwards calls to the node at `address` (`IP:PORT`) with the caller's credential. */
export interface JobPeer {
  submit(
    address: string,
    submission: JobSubmission,
    credential: string | undefined,
  ): Promise<SubmissionOutcome>;
  /** Does not wait for results. */
  read(
    address: string,
    jobId: string,
    position: number,
    credential: string | undefined,
  ): Promise<ReadOutcome>;
  item(address: string, jobId: string, itemId: string, credential: string | undefined): Promise<ItemOutcome>;
  end(address: string, jobId: string, credential: string | undefined): Promise<EndOutcome>;
}
