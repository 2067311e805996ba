/** JSON requests over HTTP, with responses validated against a schema. */

import { err, ok, type Result } from 'neverthrow';
import type { Static, TSchema } from 'typebox';
import { MILLISECONDS_PER_SECOND } from '../../common/clock.js';
import type { BufferedResponse, HttpClient, OutgoingRequest } from '../../transport/http-client.js';
import { fromTransport, ProtocolError } from '../protocol-error.js';
import { formatProblems, type Validator } from '../validation.js';

export interface JsonCall extends Omit<OutgoingRequest, 'body'> {
  /** Request body, serialized as JSON. */
  readonly json?: unknown;
}

const HTTP_CONFLICT = 409;
const HTTP_TOO_MANY_REQUESTS = 429;

/** Reads `Retry-After` in milliseconds; `undefined` if it is missing or not a number of seconds. */
export function retryAfterMs(headers: BufferedResponse['headers']): number | undefined {
  const seconds = Number(headers['retry-after']);
  return Number.isFinite(seconds) ? seconds * MILLISECONDS_PER_SECOND : undefined;
}

function parseJson(body: Buffer): Result<unknown, string> {
  if (body.length === 0) return ok(undefined);
  try {
    return ok(JSON.parse(body.toString('utf8')));
  } catch (cause) {
    return err((cause as Error).message);
  }
}

function rejectionError(response: BufferedResponse, target: string): ProtocolError {
  const detail = parseJson(response.body).unwrapOr(undefined);
  const wait = retryAfterMs(response.headers);
  const message = `${target}: status ${response.status}`;
  if (response.status === HTTP_TOO_MANY_REQUESTS) {
    return new ProtocolError('rate-limited', 'none', message, wait, detail);
  }
  if (response.status === HTTP_CONFLICT) return new ProtocolError('conflict', 'none', message, wait, detail);
  if (response.status >= 500) return new ProtocolError('unavailable', 'unknown', message, wait, detail);
  return new ProtocolError('refused', 'none', message, wait, detail);
}

/** Sends a request; any status from 300 is an error. */
export async function exchangeJson<Schema extends TSchema>(
  client: HttpClient,
  call: JsonCall,
  answer: Validator<Schema>,
): Promise<Result<Static<Schema>, ProtocolError>> {
  const target = `${call.method} ${call.url}`;
  const { json, ...rest } = call;
  const body = json === undefined ? undefined : JSON.stringify(json);
  const headers = body === undefined ? call.headers : { 'content-type': 'application/json', ...call.headers };
  const response = await client.exchange({ ...rest, headers, body });
  if (response.isErr()) return err(fromTransport(response.error, target));
  if (response.value.status >= 300) return err(rejectionError(response.value, target));
  const parsed = parseJson(response.value.body);
  if (parsed.isErr()) return err(new ProtocolError('malformed', 'unknown', `${target}: ${parsed.error}`));
  const checked = answer.check(parsed.value);
  return checked.mapErr(
    (problems) => new ProtocolError('malformed', 'unknown', `${target}: ${formatProblems(problems)}`),
  );
}
