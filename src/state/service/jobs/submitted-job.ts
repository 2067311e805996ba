/** A batch job as submitted: what its acceptance writes into the store. */
export interface SubmittedJob {
  readonly jobId: string;
  readonly host: string;
  readonly path: string;
  /** Tenant that it belongs to; `undefined` where there are no tenants. */
  readonly tenant: string | undefined;
  readonly model: string;
  readonly tokens: number;
  readonly total: number;
  readonly submission: Buffer;
}
