/** Calls of submitters about batch jobs and their outcomes, as nodes take them and pass them on to each other. */
import type { JobSpecification } from './batch-job.js';

/** A job to submit. */
export interface JobSubmission {
  readonly jobId: string;
  readonly host: string;
  readonly path: string;
  readonly body: Buffer;
  readonly specification: JobSpecification;
}

/** What became of a submission: `not-accepted` promises that nothing of it runs. */
export type SubmissionOutcome = 'accepted' | 'not-accepted' | 'unknown';

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
  submit(address: string, submission: JobSubmission): Promise<SubmissionOutcome>;
  /** Does not wait for results. */
  read(address: string, jobId: string, position: number): Promise<ReadOutcome>;
  item(address: string, jobId: string, itemId: string): Promise<ItemOutcome>;
  /** Resolves to whether the job is certainly ended. */
  end(address: string, jobId: string): Promise<boolean>;
}
