/** Calls of submitters about batch jobs and their outcomes, as nodes take them and pass them on to each other. */
import type { JobSpecification } from './batch-job.js';

/** Who makes a call about jobs. */
export interface JobCaller {
  /** Tenant of the key that the caller shows; `undefined` without one, or where callers are not told apart. */
  readonly tenant: string | undefined;
  /** What the caller shows as proof, for another node to check by itself. */
  readonly credential: string | undefined;
  /** Whether another node passes the call on: then it is carried out here or not at all. */
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

/**
 * What became of a submission: `not-accepted` promises that nothing of it runs; so does `foreign`, where the identifier is
 * another tenant's.
 */
export type SubmissionOutcome = 'accepted' | 'not-accepted' | 'foreign' | 'unknown';

/** What became of the end of a job. */
export type EndOutcome = 'ended' | 'not-found' | 'unavailable';

/** What a reader gets. */
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

/** What someone who asks for an item gets. */
export type ItemOutcome =
  | { readonly kind: 'found'; readonly body: Buffer }
  | { readonly kind: 'not-found' }
  | { readonly kind: 'unavailable' };

/** Asks another node, at `IP:PORT`, in the place of a caller. That node answers by itself and passes nothing on. */
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
