/** A batch job as it was handed in: what its acceptance writes into the store. */
export interface SubmittedJob {
  readonly jobId: string;
  readonly host: string;
  readonly path: string;
  readonly model: string;
  readonly tokens: number;
  readonly total: number;
  readonly submission: Buffer;
}
