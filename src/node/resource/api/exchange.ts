/** One HTTP exchange: principal, body, and problem documents for rejections. */

import type { IncomingMessage, ServerResponse } from 'node:http';
import { err, ok } from 'neverthrow';
import type { Static, TSchema } from 'typebox';
import { MILLISECONDS_PER_SECOND } from '../../../common/clock.js';
import {
  CoordinationError,
  type CoordinationResult,
} from '../../../coordination/resource/coordination-error.js';
import { PROBLEM_MEDIA_TYPE, type Problem, STATUS_BY_CODE } from '../../../protocol/resource/problem.js';
import type { FieldProblem, Validator } from '../../../protocol/validation.js';
import type { Principal } from '../../../state/resource/configuration/index.js';
import { readFully } from '../../../transport/http-client.js';
import { sendJson } from '../../../transport/http-server.js';

/** A request whose content is wrong; names the fields. */
export class InvalidRequestError extends CoordinationError {
  constructor(readonly fields: readonly FieldProblem[]) {
    super('invalid-request', 'no', fields.map((one) => `${one.field}: ${one.message}`).join('; '));
  }
}

/** One exchange. */
export interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly requestId: string;
  readonly principal: Principal;
  readonly url: URL;
  /** Named parts of the route. */
  readonly params: Readonly<Record<string, string>>;
}

/** The problem document of a failure. */
export function toProblem(error: CoordinationError, requestId: string): Problem {
  const seconds =
    error.retryAfterMs === undefined
      ? undefined
      : Math.max(1, Math.ceil(error.retryAfterMs / MILLISECONDS_PER_SECOND));
  return {
    type: `urn:thymecove:problem:${error.code}`,
    title: error.code.replaceAll('-', ' '),
    status: STATUS_BY_CODE[error.code],
    detail: error.message,
    code: error.code,
    executed: error.executed,
    requestId,
    ...(error instanceof InvalidRequestError ? { fields: [...error.fields] } : {}),
    ...(error.versions ? { versions: error.versions } : {}),
    ...(seconds === undefined ? {} : { retryAfterSeconds: seconds }),
  };
}

/** Sends the rejection; for some codes the connection is closed after it. */
export function sendProblem(response: ServerResponse, error: CoordinationError, requestId: string): void {
  const problem = toProblem(error, requestId);
  const headers: Record<string, string> = { 'content-type': PROBLEM_MEDIA_TYPE };
  if (problem.retryAfterSeconds !== undefined) headers['retry-after'] = problem.retryAfterSeconds.toString();
  if (error.code === 'leaving' || error.code === 'body-too-large') headers.connection = 'close';
  sendJson(response, problem.status, problem, headers);
}

/** Reads the body to its end. */
export async function readBody(request: IncomingMessage, limitBytes: number): CoordinationResult<Buffer> {
  const tooLarge = () =>
    new CoordinationError('body-too-large', 'no', `the body exceeds ${limitBytes} bytes`);
  if (Number(request.headers['content-length'] ?? 0) > limitBytes) return err(tooLarge());
  const body = await readFully(request, limitBytes);
  return body.mapErr((error) =>
    error.failure === 'body-too-large'
      ? tooLarge()
      : new CoordinationError('invalid-request', 'no', 'the body ended before its declared end'),
  );
}

/** Reads and checks a JSON body. */
export async function readJson<Schema extends TSchema>(
  exchange: Exchange,
  validator: Validator<Schema>,
  limitBytes: number,
): CoordinationResult<Static<Schema>> {
  const value = await readAnyJson(exchange, limitBytes);
  if (value.isErr()) return err(value.error);
  return validator.check(value.value).mapErr((fields) => new InvalidRequestError(fields));
}

/** Reads a JSON body without a check of its content. */
export async function readAnyJson(exchange: Exchange, limitBytes: number): CoordinationResult<unknown> {
  const body = await readBody(exchange.request, limitBytes);
  if (body.isErr()) return err(body.error);
  try {
    return ok(JSON.parse(body.value.toString('utf8')));
  } catch (cause) {
    return err(new InvalidRequestError([{ field: '(body)', message: (cause as Error).message }]));
  }
}
