/** Calls of submitters about batch jobs, and their outcomes, as nodes accept and forward them. */
import type { JobSpecification } from './batch-job.js';

/** Who makes a call about jobs. */
export interface JobCaller {
  /** Tenant of the caller's key; `undefined` without one, or where there are no tenants. */
  readonly tenant: string | undefined;
  /** The caller's credential, for another node to check by itself. */
  readonly credential: string | undefined;
  /** Whether another node forwarded the call: then it is not forwarded again. */
  readonly isForwarded: boolean;
}

/** A job to submit. */
export interface JobSubmission {
  readonly jobId: string;
  readonly host: string;
  readonly path: string;
  readonly body: Buffer;
  readonly specification: JobSpecification;
}

/** Outcome of a submission. Unless `accepted` or `unknown`, nothing of it runs; after `unknown`, retry. */
export type SubmissionOutcome = 'accepted' | 'not-accepted' | 'foreign' | 'unknown';

/** Outcome of ending a job. */
export type EndOutcome = 'ended' | 'not-found' | 'unavailable';

/** Outcome of reading results. */
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

/** Outcome of reading an item's body. */
export type ItemOutcome =
  | { readonly kind: 'found'; readonly body: Buffer }
  | { readonly kind: 'not-found' }
  | { readonly kind: 'unavailable' };

/** Forwards calls to another node, at `IP:PORT`, with the caller's credential. That node forwards nothing. */
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
