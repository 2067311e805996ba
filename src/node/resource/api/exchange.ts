/** One HTTP exchange: principal, body, and problem documents for rejections. */

import type { IncomingMessage, ServerResponse } from 'node:http';
import { err, ok } from 'neverthrow';
import type { Static, TSchema } from 'typebox';
import { MILLISECONDS_PER_SECOND, monotonicMs } from '../../../common/clock.js';
import { measureJson, parsedJsonBytes } from '../../../common/json-size.js';
import {
  CoordinationError,
  type CoordinationResult,
} from '../../../coordination/resource/coordination-error.js';
import { PROBLEM_MEDIA_TYPE, type Problem, STATUS_BY_CODE } from '../../../protocol/resource/problem.js';
import type { FieldProblem, Validator } from '../../../protocol/validation.js';
import type { Principal } from '../../../state/resource/configuration/index.js';
import { sendJson } from '../../../transport/http-server.js';
import type { Holding, MemoryBudget } from '../../../transport/memory-budget.js';
import { receiveBody } from '../../../transport/request-body.js';
import { outOfMemory, type TransportError } from '../../../transport/transport-error.js';

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
  /** What the node holds for its clients. */
  readonly budget: MemoryBudget;
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

/** Times for a body, milliseconds: without a byte, and until it is whole. */
const BODY_IDLE_TIMEOUT_MS = 15_000;
const BODY_TIMEOUT_MS = 30_000;
const NO_MEMORY_RETRY_MS = 1_000;

function toBodyError({ failure, message }: TransportError): CoordinationError {
  if (failure === 'body-too-large') return new CoordinationError('body-too-large', 'no', message);
  if (failure === 'no-memory') return new CoordinationError('overloaded', 'no', message, NO_MEMORY_RETRY_MS);
  return new CoordinationError('invalid-request', 'no', 'the body ended before its declared end');
}

/** Reads the body to its end; its memory counts until the response has been sent. */
export async function readBody(
  { request, response, budget }: Exchange,
  maxBytes: number,
): CoordinationResult<Buffer> {
  const deadlineMs = monotonicMs() + BODY_TIMEOUT_MS;
  const limits = { maxBytes, idleTimeoutMs: BODY_IDLE_TIMEOUT_MS, deadlineMs };
  const body = await receiveBody(request, response, limits, budget);
  if (body.isErr()) return err(toBodyError(body.error));
  releaseAfter(response, body.value.holding);
  return ok(body.value.bytes);
}

function releaseAfter(response: ServerResponse, holding: Holding): void {
  if (response.destroyed) holding.release();
  else response.once('close', () => holding.release());
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
  const body = await readBody(exchange, limitBytes);
  if (body.isErr()) return err(body.error);
  const parsedBytes = parsedJsonBytes(measureJson(body.value), body.value.length);
  const holding = exchange.budget.tryHold(parsedBytes);
  if (!holding) return err(toBodyError(outOfMemory('the body')));
  releaseAfter(exchange.response, holding);
  try {
    return ok(JSON.parse(body.value.toString('utf8')));
  } catch (cause) {
    return err(new InvalidRequestError([{ field: '(body)', message: (cause as Error).message }]));
  }
}
