/** Batch jobs: many generation requests that are submitted together, run later, and read by position. */

/** A request that scores a finished sample: the signature of the response is the score. */
export interface ScoringCall {
  readonly id: string;
  readonly host: string;
  readonly path: string;
  readonly body: Buffer;
}

/** One request of a job. */
export interface JobItem {
  readonly id: string;
  readonly path: string;
  /** Header names are in lower case. */
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
  /** Tokens of the prompt plus the most that may be generated. */
  readonly tokens: number;
  /**
   * The submitter's estimate of the tokens that will be generated, often well off; `undefined` without one.
   */
  readonly expectedTokens: number | undefined;
  /** Items of one group share their prompt; a group counts when all its items are listed. */
  readonly group: string;
  readonly scoring: ScoringCall | undefined;
}

/** A job as submitted. */
export interface JobSpecification {
  readonly model: string;
  /** Oldest weight version that may generate an event of a sample. */
  readonly minVersion: number;
  /** Whole groups that the submitter waits for. */
  readonly desiredGroups: number;
  readonly items: readonly JobItem[];
}

/** The outcome of one item. Once listed, it keeps its position in the job. */
export interface JobResult {
  readonly id: string;
  readonly state: 'completed' | 'dead';
  /** Data of all events in order, separated by line feeds. */
  readonly text: string;
  /** Weight versions that generated an event of the text. */
  readonly versions: readonly number[];
  readonly score: string | undefined;
}

/** The text of a running item, as stored for a later owner to continue. Its field names are stored names. */
export interface PartialText {
  readonly lastEventId: string;
  readonly events: readonly string[];
  readonly versions: readonly number[];
  /** Whether the text is complete and only has to be scored. */
  readonly isWhole: boolean;
}
