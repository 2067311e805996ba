/** Batch jobs: many generation requests that are submitted together, run later, and read by position. */

/** A request whose answer's signature scores a finished sample. */
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
  /** The submitter's estimate of the tokens that will be generated, often well off; `undefined` without one. */
  readonly expectedTokens: number | undefined;
  /** Items of one group share their prompt; a group counts when all its items are listed. */
  readonly group: string;
  readonly scoring: ScoringCall | undefined;
}

/** A job as submitted. */
export interface JobSpecification {
  readonly model: string;
  /** Oldest weight version that may make an event of a sample. */
  readonly minVersion: number;
  /** Whole groups that the submitter waits for. */
  readonly desiredGroups: number;
  readonly items: readonly JobItem[];
}

/** The outcome of one item, at one position of its job, for ever. */
export interface JobResult {
  readonly id: string;
  readonly state: 'completed' | 'dead';
  /** Data of all events in order, separated by line feeds. */
  readonly text: string;
  /** Weight versions that made an event of the text. */
  readonly versions: readonly number[];
  readonly score: string | undefined;
}

/** A part of a text that is kept while an item runs, so that another owner can go on from it. */
export interface PartialText {
  readonly lastEventId: string;
  readonly events: readonly string[];
  readonly versions: readonly number[];
  /** Whether the text is whole and only its scoring is left. */
  readonly isWhole: boolean;
}
