/** Problem documents (RFC 9457), the form of every rejection. */
import Type, { type Static } from 'typebox';

/** Whether the rejected request has run. `no` is certain, so that a retry is safe. */
export const ExecutedSchema = Type.Union([Type.Literal('no'), Type.Literal('unknown'), Type.Literal('yes')]);
export type Executed = Static<typeof ExecutedSchema>;

/** Reason codes of rejections. */
export const PROBLEM_CODES = [
  'invalid-request',
  'not-found',
  'unauthenticated',
  'forbidden',
  'conflict',
  'body-too-large',
  'no-backend',
  'overloaded',
  'configuration-not-fresh',
  'leaving',
  'platform-unavailable',
  'backend-failed',
  'backend-refused',
  'outcome-unknown',
  'deadline-passed',
  'in-progress',
  'watch-expired',
  'not-accepted-yet',
  'internal',
] as const;
export type ProblemCode = (typeof PROBLEM_CODES)[number];

export const ProblemSchema = Type.Object({
  type: Type.String(),
  title: Type.String(),
  status: Type.Integer(),
  detail: Type.String(),
  code: Type.Enum([...PROBLEM_CODES]),
  executed: ExecutedSchema,
  requestId: Type.String(),
  /** Bad fields of the request, for `invalid-request`. */
  fields: Type.Optional(Type.Array(Type.Object({ field: Type.String(), message: Type.String() }))),
  /** The version that the caller named and the one in force, for `conflict`. */
  versions: Type.Optional(Type.Object({ expected: Type.Integer(), current: Type.Integer() })),
  /** Seconds until a new attempt is worth while; the same as the Retry-After header. */
  retryAfterSeconds: Type.Optional(Type.Integer()),
});
export type Problem = Static<typeof ProblemSchema>;

/** HTTP status of each reason code. */
export const STATUS_BY_CODE: Readonly<Record<ProblemCode, number>> = {
  'invalid-request': 400,
  'not-found': 404,
  unauthenticated: 401,
  forbidden: 403,
  conflict: 409,
  'body-too-large': 413,
  'no-backend': 503,
  overloaded: 429,
  'configuration-not-fresh': 503,
  leaving: 503,
  'platform-unavailable': 503,
  'backend-failed': 502,
  'backend-refused': 503,
  'outcome-unknown': 502,
  'deadline-passed': 504,
  'in-progress': 409,
  'watch-expired': 410,
  'not-accepted-yet': 503,
  internal: 500,
};

/** Media type of a problem document. */
export const PROBLEM_MEDIA_TYPE = 'application/problem+json';
