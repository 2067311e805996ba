/** Batch jobs: generation requests submitted together and run later. Results are read by position. */

/** A request that scores a completed sample: the signature of the response is the score. */
export interface ScoringCall {
  readonly id: string;
  readonly host: string;
  readonly path: string;
  readonly body: Buffer;
}

/** One generation request of a job. */
export interface JobItem {
  readonly id: string;
  readonly path: string;
  /** Names are in lower case. */
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
  /** Tokens of the prompt plus the maximum to generate. */
  readonly tokens: number;
  /** The submitter's estimate of the tokens to be generated, which may be far off. */
  readonly expectedTokens: number | undefined;
  /** Items of a group share their prompt. A group counts as complete when all its items have results. */
  readonly group: string;
  readonly scoring: ScoringCall | undefined;
}

export interface JobSpecification {
  readonly model: string;
  /** Lowest weight version that may generate an event of a sample. */
  readonly minVersion: number;
  /** Number of complete groups that the submitter waits for. */
  readonly desiredGroups: number;
  readonly items: readonly JobItem[];
}

/** The result of one item. Once stored, it keeps its position in the job. */
export interface JobResult {
  readonly id: string;
  /** `dead`: the item will not complete. */
  readonly state: 'completed' | 'dead';
  /** Data of all events, separated by line feeds. */
  readonly text: string;
  /** Weight versions that generated the events. */
  readonly versions: readonly number[];
  readonly score: string | undefined;
}

/** The stored text of a running item, which a later owner of the job continues. */
export interface PartialText {
  readonly lastEventId: string;
  readonly events: readonly string[];
  readonly versions: readonly number[];
  /** Whether the text is complete and only the score is missing. */
  readonly isWhole: boolean;
}
