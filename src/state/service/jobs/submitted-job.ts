/** A batch job as it was handed in: what its acceptance writes into the store. */
export interface SubmittedJob {
  readonly jobId: string;
  readonly host: string;
  readonly path: string;
  /** Tenant that it belongs to; `undefined` where callers are not told apart. */
  readonly tenant: string | undefined;
  readonly model: string;
  readonly tokens: number;
  readonly total: number;
  readonly submission: Buffer;
}
