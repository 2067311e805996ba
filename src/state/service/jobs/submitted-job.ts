/** A batch job as it is accepted into the store. */
export interface SubmittedJob {
  readonly jobId: string;
  readonly host: string;
  readonly path: string;
  /** `undefined` where there are no tenants. */
  readonly tenant: string | undefined;
  readonly model: string;
  readonly tokens: number;
  readonly total: number;
  readonly submission: Buffer;
}
