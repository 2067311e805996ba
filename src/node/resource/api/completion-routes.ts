/**
 * Routes of callers of model services: `/v1/completions` and `/v1/chat/completions`, streamed or buffered. A
 * generation that fails after its stream began ends in an error event; a buffered one in a problem document.
 */
import { err, ok, type Result } from 'neverthrow';
import {
  CoordinationError,
  type CoordinationResult,
} from '../../../coordination/resource/coordination-error.js';
import type { RequestContext } from '../../../coordination/resource/requests/index.js';
import { REQUEST_ID_HEADER } from '../../../coordination/resource/requests/index.js';
import type {
  EventTranscript,
  GenerationRequest,
  Generator,
} from '../../../coordination/resource/rollouts/index.js';
import { type CompletionRequest, CompletionRequestSchema } from '../../../protocol/resource/engine.js';
import { Validator } from '../../../protocol/validation.js';
import { sendJson } from '../../../transport/http-server.js';
import { writeChunk } from '../../../transport/stream-write.js';
import type { Route } from './api-server.js';
import { type CallerParts, contextOf, noteRejection, withinLimits } from './caller-routes.js';
import { type Exchange, InvalidRequestError, readJson, toProblem } from './exchange.js';

/** Dependencies of the routes. */
export interface CompletionParts extends Pick<CallerParts, 'view' | 'gate' | 'limits' | 'decisions'> {
  readonly generator: Generator;
}

/** Largest request body. Chosen, not measured. */
const BODY_LIMIT_BYTES = 4 * 1024 * 1024;
/** Timeout when the service declares none, milliseconds. Chosen, not measured. */
const DEFAULT_TIMEOUT_MS = 120_000;
const DEFAULT_MAX_TOKENS = 256;
/** Priority at engines when the service declares none, 0 to 9. */
const DEFAULT_PRIORITY = 5;
/** Upper bound of random seeds, exclusive: the greatest signed 32-bit integer. */
const SEED_LIMIT = 0x7fffffff;

const validator = new Validator(CompletionRequestSchema);

/** Routes of completions. */
export function completionRoutes(parts: CompletionParts): Route[] {
  const handler = (exchange: Exchange) => complete(parts, exchange);
  const common = { method: 'POST' as const, roles: ['caller' as const], isWork: true, handler };
  return [
    { ...common, pattern: '/v1/completions' },
    { ...common, pattern: '/v1/chat/completions' },
  ];
}

function promptOf(exchange: Exchange, body: CompletionRequest): Result<string, CoordinationError> {
  const isChat = exchange.url.pathname.includes('/chat/');
  const field = isChat ? 'messages' : 'prompt';
  if (isChat && body.messages)
    return ok(body.messages.map((one) => `${one.role}: ${one.content}`).join('\n'));
  if (!isChat && body.prompt !== undefined) return ok(body.prompt);
  return err(new InvalidRequestError([{ field, message: 'is required' }]));
}

async function complete(parts: CompletionParts, exchange: Exchange): CoordinationResult<void> {
  const body = await readJson(exchange, validator, BODY_LIMIT_BYTES);
  if (body.isErr()) return err(body.error);
  const prompt = promptOf(exchange, body.value);
  if (prompt.isErr()) return err(prompt.error);
  const request = generationOf(parts, body.value, prompt.value);
  if (request.isErr()) return err(request.error);
  const { service } = request.value;
  const context = contextOf(exchange, service.spec.limits?.timeoutMs ?? DEFAULT_TIMEOUT_MS);
  if (context.isErr()) return err(context.error);
  const run = body.value.stream === true ? streamed : buffered;
  return withinLimits(parts, exchange, service, async () => {
    const outcome = await run(parts, exchange, context.value, request.value);
    if (outcome.isErr()) noteRejection(parts.decisions, exchange.requestId, outcome.error);
    return outcome;
  });
}

/** The generation that a body requests. A model is `not-found` only under a confirmed configuration. */
function generationOf(
  parts: CompletionParts,
  body: CompletionRequest,
  prompt: string,
): Result<GenerationRequest, CoordinationError> {
  const model = parts.view.get('Model', body.model);
  const service = model && parts.view.get('Service', model.spec.service);
  if (!model || !service) {
    const open = parts.gate.check();
    const message = `no model ${body.model} is declared`;
    return err(open.isErr() ? open.error : new CoordinationError('not-found', 'no', message));
  }
  return ok({
    service,
    model: model.metadata.name,
    prompt,
    maxTokens: body.max_tokens ?? DEFAULT_MAX_TOKENS,
    seed: body.seed ?? Math.floor(Math.random() * SEED_LIMIT),
    priority: service.spec.priority ?? DEFAULT_PRIORITY,
    residency: model.spec.residency,
    subjects: [],
  });
}

/** Forwards events as bytes. A cut that is not resumed ends in an error event, never silently. */
async function streamed(
  parts: CompletionParts,
  exchange: Exchange,
  context: RequestContext,
  request: GenerationRequest,
): CoordinationResult<void> {
  const { response, requestId } = exchange;
  const generated = await parts.generator.generate(context, request, async (events) => {
    if (!response.headersSent) {
      response.writeHead(200, { 'content-type': 'text/event-stream', [REQUEST_ID_HEADER]: requestId });
    }
    return writeChunk(response, events);
  });
  if (generated.isOk()) {
    response.end();
    return ok(undefined);
  }
  if (!response.headersSent) return err(generated.error);
  noteRejection(parts.decisions, requestId, generated.error);
  response.end(`event: error\ndata: ${JSON.stringify({ error: toProblem(generated.error, requestId) })}\n\n`);
  return ok(undefined);
}

async function buffered(
  parts: CompletionParts,
  exchange: Exchange,
  context: RequestContext,
  request: GenerationRequest,
): CoordinationResult<void> {
  const generated = await parts.generator.generate(
    context,
    request,
    async () => !exchange.response.destroyed,
  );
  if (generated.isErr()) return err(generated.error);
  return sendBuffered(exchange, request, generated.value);
}

function sendBuffered(
  exchange: Exchange,
  request: GenerationRequest,
  transcript: EventTranscript,
): Result<void, CoordinationError> {
  const read = transcript.read();
  if (read.isErr()) return err(new CoordinationError('backend-failed', 'yes', read.error));
  const { text, tokens, segments, finishReason } = read.value;
  const isChat = exchange.url.pathname.includes('/chat/');
  const choice = isChat ? { message: { role: 'assistant', content: text } } : { text };
  sendJson(
    exchange.response,
    200,
    {
      id: exchange.requestId,
      object: isChat ? 'chat.completion' : 'text_completion',
      model: request.model,
      choices: [{ index: 0, ...choice, finish_reason: finishReason }],
      usage: { completion_tokens: tokens },
      segments,
    },
    { [REQUEST_ID_HEADER]: exchange.requestId },
  );
  return ok(undefined);
}
