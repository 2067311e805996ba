/** Messages between operators and nodes, except for the resources. */
import Type, { type Static } from 'typebox';

const CLOSED = { additionalProperties: false } as const;
/** The store accepts 100 entries per transaction; a change needs up to two, a published version two more. */
const MAX_CHANGES = 40;

/** Changes that are committed as one revision. */
export const ChangesetSchema = Type.Object(
  {
    /** Idempotency key: an ID commits at most once. */
    operationId: Type.String({ minLength: 8, maxLength: 64 }),
    /** If true, nothing is committed; the response tells whether there would be changes. */
    dryRun: Type.Optional(Type.Boolean()),
    changes: Type.Array(
      Type.Union([
        Type.Object(
          {
            action: Type.Literal('put'),
            manifest: Type.Unknown(),
            expectedVersion: Type.Optional(Type.Integer({ minimum: 0 })),
          },
          CLOSED,
        ),
        Type.Object(
          {
            action: Type.Literal('delete'),
            kind: Type.String(),
            name: Type.String(),
            expectedVersion: Type.Optional(Type.Integer({ minimum: 0 })),
          },
          CLOSED,
        ),
      ]),
      { minItems: 1, maxItems: MAX_CHANGES },
    ),
  },
  CLOSED,
);
export type Changeset = Static<typeof ChangesetSchema>;

export const ChangesetAnswerSchema = Type.Object({
  revision: Type.Integer(),
  changed: Type.Boolean(),
  accepted: Type.Boolean(),
});
export type ChangesetAnswer = Static<typeof ChangesetAnswerSchema>;

export const ApprovalRequestSchema = Type.Object(
  { note: Type.Optional(Type.String({ maxLength: 1_000 })) },
  CLOSED,
);

/** Number of nodes that have applied a revision. */
export const RevisionReportSchema = Type.Object({
  revision: Type.Integer(),
  accepted: Type.Boolean(),
  inForceEverywhere: Type.Boolean(),
  holders: Type.Integer(),
  members: Type.Integer(),
});
export type RevisionReport = Static<typeof RevisionReportSchema>;

/** State of the responding node, and of members and back ends as observed by it. */
export const StatusSchema = Type.Object({
  node: Type.Object({
    id: Type.String(),
    zone: Type.String(),
    state: Type.String(),
    configRevision: Type.Integer(),
    configurationFresh: Type.Boolean(),
    duties: Type.Array(Type.String()),
  }),
  members: Type.Array(
    Type.Object({ id: Type.String(), zone: Type.String(), state: Type.String(), address: Type.String() }),
  ),
  backends: Type.Array(
    Type.Object({
      name: Type.String(),
      service: Type.String(),
      zone: Type.String(),
      health: Type.String(),
      version: Type.Optional(Type.Integer()),
      inFlight: Type.Integer(),
      takesWork: Type.String(),
    }),
  ),
});
export type Status = Static<typeof StatusSchema>;

/** Response of `/v1/explain`. */
export const ExplanationSchema = Type.Object({
  subject: Type.String(),
  kind: Type.Union([Type.Literal('request'), Type.Literal('sample'), Type.Literal('backend')]),
  summary: Type.String(),
  decisions: Type.Array(Type.Unknown()),
  detail: Type.Optional(Type.Unknown()),
});
export type Explanation = Static<typeof ExplanationSchema>;
