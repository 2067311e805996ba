/**
 * Model engines: wire format and client. An engine streams server-sent events in the commonly used shape of
 * `/v1/completions`; each event names the weight version that produced its tokens. `data: [DONE]` is the
 * only end of a stream: a closed connection without it is a cut.
 */
import { err, ok, type Result } from 'neverthrow';
import Type, { type Static } from 'typebox';
import type { HttpClient, IncomingResponse } from '../../transport/http-client.js';
import { readFully } from '../../transport/http-client.js';
import { fromTransport, ProtocolError } from '../protocol-error.js';
import { Validator } from '../validation.js';
import { exchangeJson, retryAfterMs } from './json-exchange.js';

const CLOSED = { additionalProperties: false } as const;

/** Body of a completion request of a caller. */
export const CompletionRequestSchema = Type.Object(
  {
    model: Type.String({ minLength: 1 }),
    prompt: Type.Optional(Type.String()),
    messages: Type.Optional(
      Type.Array(Type.Object({ role: Type.String(), content: Type.String() }, CLOSED), { minItems: 1 }),
    ),
    max_tokens: Type.Optional(Type.Integer({ minimum: 1, maximum: 131_072 })),
    stream: Type.Optional(Type.Boolean()),
    seed: Type.Optional(Type.Integer()),
    temperature: Type.Optional(Type.Number({ minimum: 0 })),
  },
  CLOSED,
);
export type CompletionRequest = Static<typeof CompletionRequestSchema>;

/** Body of a completion request of a node to an engine. */
export const EngineRequestSchema = Type.Object(
  {
    request_id: Type.String(),
    model: Type.String(),
    prompt: Type.String(),
    max_tokens: Type.Integer({ minimum: 1 }),
    priority: Type.Integer({ minimum: 0, maximum: 9 }),
    seed: Type.Integer(),
    /** Text that earlier attempts generated, to resume after. */
    resume: Type.Optional(Type.Object({ text: Type.String(), tokens: Type.Integer({ minimum: 0 }) }, CLOSED)),
    /** Least tokens in an event, unless the version changes or the text ends; an engine may ignore it. */
    event_tokens: Type.Optional(Type.Integer({ minimum: 1 })),
    /** The engine rejects the request when its loaded version is older. */
    min_version: Type.Optional(Type.Integer({ minimum: 0 })),
  },
  CLOSED,
);
export type EngineRequest = Static<typeof EngineRequestSchema>;

/** One streamed event. */
export const EngineChunkSchema = Type.Object({
  id: Type.String(),
  text: Type.String(),
  tokens: Type.Integer({ minimum: 0 }),
  weight_version: Type.Integer(),
  finish_reason: Type.Union([Type.Null(), Type.Literal('stop'), Type.Literal('length')]),
});
export type EngineChunk = Static<typeof EngineChunkSchema>;
const chunkValidator = new Validator(EngineChunkSchema);

/** The end of a complete stream. */
export const STREAM_END = '[DONE]';

/** State reported by an engine. Load figures lag. */
export const EngineStateSchema = Type.Object({
  model: Type.String(),
  /** Version of each shard. More than one value means that a swap failed partway. */
  shardVersions: Type.Array(Type.Integer()),
  /** Whether it admits new requests: `draining` engines reject them. */
  role: Type.Union([Type.Literal('serving'), Type.Literal('draining')]),
  swapping: Type.Boolean(),
  running: Type.Integer(),
  queued: Type.Integer(),
  /** Highest fence received. */
  fence: Type.Integer(),
});
export type EngineState = Static<typeof EngineStateSchema>;

/** A fenced command. An engine rejects a fence that is lower than the highest it has received. */
export const EngineCommandSchema = Type.Union([
  Type.Object({
    fence: Type.Integer({ minimum: 0 }),
    order: Type.Literal('load'),
    model: Type.String(),
    version: Type.Integer({ minimum: 0 }),
    object: Type.String(),
  }),
  Type.Object({
    fence: Type.Integer({ minimum: 0 }),
    order: Type.Literal('role'),
    role: Type.Union([Type.Literal('serving'), Type.Literal('draining')]),
  }),
]);
export type EngineCommand = Static<typeof EngineCommandSchema>;

/** Response header of a back end that did not admit the request, which then has not run. */
export const NOT_ADMITTED_HEADER = 'x-not-admitted';

const state = new Validator(EngineStateSchema);
// Chosen, not measured; times in milliseconds.
const MAX_ERROR_BODY_BYTES = 64 * 1024;
const STATE_TIMEOUT_MS = 1_000;
/** A load of weights responds when it is done. */
const COMMAND_TIMEOUT_MS = 20_000;
/** Until the head of a stream, in the engine's queue. */
const ADMISSION_TIMEOUT_MS = 10_000;
/** Between two pieces of a stream; then it counts as cut. */
const STREAM_IDLE_TIMEOUT_MS = 15_000;

/** Response to a completion request. */
export interface EngineStream {
  readonly response: IncomingResponse;
}

/** Client of model engines. */
export class EngineClient {
  constructor(private readonly client: HttpClient) {}

  /** Starts a generation. A rejection that the engine marks as not admitted has the effect `none`. */
  async generate(
    address: string,
    body: EngineRequest,
    signal: AbortSignal,
  ): Promise<Result<EngineStream, ProtocolError>> {
    const sent = await this.client.send({
      method: 'POST',
      url: `${address}/v1/completions`,
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(body),
      signal,
      headTimeoutMs: ADMISSION_TIMEOUT_MS,
      idleTimeoutMs: STREAM_IDLE_TIMEOUT_MS,
    });
    if (sent.isErr()) return err(fromTransport(sent.error, 'generate'));
    if (sent.value.status === 200) return ok({ response: sent.value });
    const reason = await readFully(sent.value.body, MAX_ERROR_BODY_BYTES);
    const effect = sent.value.headers[NOT_ADMITTED_HEADER] === 'true' ? 'none' : 'unknown';
    const wait = retryAfterMs(sent.value.headers);
    const text = reason.map((bytes) => bytes.toString('utf8')).unwrapOr('');
    return err(new ProtocolError('refused', effect, `generate: status ${sent.value.status} ${text}`, wait));
  }

  /** Reads the engine's state. */
  state(address: string): Promise<Result<EngineState, ProtocolError>> {
    const call = { method: 'GET', url: `${address}/state`, headTimeoutMs: STATE_TIMEOUT_MS };
    return exchangeJson(this.client, call, state);
  }

  /** Sends a fenced command; resolves when it has been carried out. Repeating it is safe. */
  order(address: string, order: EngineCommand): Promise<Result<EngineState, ProtocolError>> {
    const call = { method: 'POST', url: `${address}/orders`, json: order, headTimeoutMs: COMMAND_TIMEOUT_MS };
    return exchangeJson(this.client, call, state);
  }
}

/** Reads one `data:` line; `undefined` for other lines. */
export function parseEventLine(line: string): Result<EngineChunk, string> | 'end' | undefined {
  if (!line.startsWith('data:')) return undefined;
  const data = line.slice('data:'.length).trim();
  if (data === STREAM_END) return 'end';
  try {
    return chunkValidator.check(JSON.parse(data)).mapErr((problems) => problems[0]?.message ?? 'malformed');
  } catch (cause) {
    return err((cause as Error).message);
  }
}
