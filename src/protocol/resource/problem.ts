/** Problem documents (RFC 9457), the response body of every rejected request. */
import Type, { type Static } from 'typebox';

/** Whether the rejected request was executed. `no` is certain, so a retry is safe. */
export const ExecutedSchema = Type.Union([Type.Literal('no'), Type.Literal('unknown'), Type.Literal('yes')]);
export type Executed = Static<typeof ExecutedSchema>;

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
  /** Invalid fields, for `invalid-request`. */
  fields: Type.Optional(Type.Array(Type.Object({ field: Type.String(), message: Type.String() }))),
  /** Version expected by the caller and current version, for `conflict`. */
  versions: Type.Optional(Type.Object({ expected: Type.Integer(), current: Type.Integer() })),
  /** Same value as the `Retry-After` header. */
  retryAfterSeconds: Type.Optional(Type.Integer()),
});
export type Problem = Static<typeof ProblemSchema>;

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

export const PROBLEM_MEDIA_TYPE = 'application/problem+json';
