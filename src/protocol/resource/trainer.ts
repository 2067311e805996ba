/** Messages between trainers and nodes. */
import Type, { type Static } from 'typebox';

const CLOSED = { additionalProperties: false } as const;
const ID_PATTERN = '^[A-Za-z0-9._-]{1,64}$';
const MAX_PROMPTS = 8192;

/** Submits a rollout. Sending the same ID and content again is harmless. */
export const RolloutSubmissionSchema = Type.Object(
  {
    rolloutId: Type.String({ pattern: ID_PATTERN }),
    model: Type.String({ minLength: 1 }),
    prompts: Type.Array(Type.String(), { minItems: 1, maxItems: MAX_PROMPTS }),
    samplesPerPrompt: Type.Integer({ minimum: 1, maximum: 256 }),
    maxTokens: Type.Integer({ minimum: 1, maximum: 131_072 }),
    seed: Type.Optional(Type.Integer()),
  },
  CLOSED,
);
export type RolloutSubmission = Static<typeof RolloutSubmissionSchema>;

/**
 * Draws the batch with a cursor. Cursors count from 1. The same cursor returns the same batch; cursor n + 1
 * acknowledges batch n. `versions` names, by model, the version that the trainer holds.
 */
export const DrawRequestSchema = Type.Object(
  {
    cursor: Type.Integer({ minimum: 1 }),
    /**
     * Grows with each request of the trainer, also when it is sent again; milliseconds since the epoch will
     * do. A request that was overtaken by a later one is refused, so that a node that handles it late takes
     * back nothing.
     */
    sequence: Type.Integer({ minimum: 1 }),
    versions: Type.Record(Type.String(), Type.Integer({ minimum: 0 })),
    /** Acknowledges the batch of the cursor before, by the attempt and digest that the trainer received. */
    previous: Type.Optional(
      Type.Object({ attempt: Type.Integer({ minimum: 1 }), digest: Type.String() }, CLOSED),
    ),
    maxSamples: Type.Optional(Type.Integer({ minimum: 1, maximum: 512 })),
    /** Longest wait for the first sample, milliseconds. Default 0. */
    waitMs: Type.Optional(Type.Integer({ minimum: 0, maximum: 20_000 })),
  },
  CLOSED,
);
export type DrawRequest = Static<typeof DrawRequestSchema>;

/** A run of tokens that one weight version produced, as the engine reported it. */
export const SegmentSchema = Type.Object({
  version: Type.Integer(),
  firstToken: Type.Integer(),
  tokenCount: Type.Integer(),
  engine: Type.String(),
});
export type Segment = Static<typeof SegmentSchema>;

/** A delivered sample. */
export const SampleSchema = Type.Object({
  sampleId: Type.String(),
  rolloutId: Type.String(),
  model: Type.String(),
  promptIndex: Type.Integer(),
  sampleIndex: Type.Integer(),
  text: Type.String(),
  segments: Type.Array(SegmentSchema),
  finishReason: Type.String(),
});
export type Sample = Static<typeof SampleSchema>;

/** A batch. With no samples ready it is empty and its cursor stays free. */
export const BatchSchema = Type.Object({
  cursor: Type.Integer(),
  /** Grows when samples of the batch became too old between two answers; earlier attempts are void. */
  attempt: Type.Integer(),
  digest: Type.String(),
  /** By model, the newest version known when the batch was checked against the staleness bound. */
  checkedAgainst: Type.Record(Type.String(), Type.Integer()),
  samples: Type.Array(SampleSchema),
});
export type Batch = Static<typeof BatchSchema>;

/** Acknowledges a batch without drawing the next one. */
export const AcknowledgementSchema = Type.Object(
  {
    cursor: Type.Integer({ minimum: 1 }),
    attempt: Type.Integer({ minimum: 1 }),
    digest: Type.String(),
  },
  CLOSED,
);

/** Progress of a rollout. */
export const RolloutProgressSchema = Type.Object({
  rolloutId: Type.String(),
  state: Type.Union([Type.Literal('open'), Type.Literal('cancelled')]),
  slots: Type.Integer(),
  ready: Type.Integer(),
  drawn: Type.Integer(),
  regenerating: Type.Integer(),
});
export type RolloutProgress = Static<typeof RolloutProgressSchema>;
