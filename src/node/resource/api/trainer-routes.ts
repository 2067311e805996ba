/**
 * Routes of trainers: submit, draw, acknowledge, cancel, progress. Every call may be repeated: submissions
 * are identified by content, draws by cursor and sequence, acknowledgements by cursor, attempt and digest.
 */
import { err, ok } from 'neverthrow';
import {
  CoordinationError,
  type CoordinationResult,
  fromState,
} from '../../../coordination/resource/coordination-error.js';
import type { WorkGate } from '../../../coordination/resource/requests/index.js';
import type { Delivery } from '../../../coordination/resource/rollouts/index.js';
import type { ResourceOf } from '../../../protocol/resource/resource.js';
import {
  AcknowledgementSchema,
  DrawRequestSchema,
  RolloutSubmissionSchema,
} from '../../../protocol/resource/trainer.js';
import { Validator } from '../../../protocol/validation.js';
import type { ConfigView } from '../../../state/resource/configuration/index.js';
import type { BatchLedger, RolloutLedger } from '../../../state/resource/samples/index.js';
import { disconnectSignal, sendJson } from '../../../transport/http-server.js';
import type { ApiHandler, Route } from './api-server.js';
import { type Exchange, InvalidRequestError, readJson } from './exchange.js';

/** Dependencies of the routes. */
export interface TrainerParts {
  readonly view: ConfigView;
  readonly gate: WorkGate;
  readonly rollouts: RolloutLedger;
  readonly batches: BatchLedger;
  readonly delivery: Delivery;
}

// Chosen, not measured.
const SUBMISSION_LIMIT_BYTES = 32 * 1024 * 1024;
const SMALL_BODY_LIMIT_BYTES = 64 * 1024;
const submission = new Validator(RolloutSubmissionSchema);
const drawRequest = new Validator(DrawRequestSchema);
const acknowledgement = new Validator(AcknowledgementSchema);

type TrainerHandler = (
  parts: TrainerParts,
  exchange: Exchange,
  trainer: ResourceOf<'Trainer'>,
) => CoordinationResult<void>;

/** Routes of trainers. */
export function trainerRoutes(parts: TrainerParts): Route[] {
  const common = { roles: ['trainer' as const], isWork: true };
  const base = '/v1/trainers/:trainer';
  const own =
    (handler: TrainerHandler): ApiHandler =>
    (exchange) =>
      forOwnTrainer(parts, exchange, handler);
  return [
    { ...common, method: 'POST', pattern: `${base}/rollouts`, handler: own(submit) },
    { ...common, method: 'GET', pattern: `${base}/rollouts/:rollout`, handler: own(progress) },
    { ...common, method: 'DELETE', pattern: `${base}/rollouts/:rollout`, handler: own(cancel) },
    { ...common, method: 'POST', pattern: `${base}/draws`, handler: own(draw) },
    { ...common, method: 'POST', pattern: `${base}/acknowledgements`, handler: own(acknowledge) },
  ];
}

/** A trainer's token is valid for that trainer alone. */
async function forOwnTrainer(
  parts: TrainerParts,
  exchange: Exchange,
  handler: TrainerHandler,
): CoordinationResult<void> {
  const name = exchange.params.trainer ?? '';
  if (exchange.principal.trainer !== name) {
    return err(new CoordinationError('forbidden', 'no', `the token does not speak for trainer ${name}`));
  }
  const open = parts.gate.check();
  if (open.isErr()) return err(open.error);
  const trainer = parts.view.get('Trainer', name);
  if (!trainer) return err(new CoordinationError('not-found', 'no', `no trainer ${name} is declared`));
  return handler(parts, exchange, trainer);
}

const submit: TrainerHandler = async (parts, exchange, trainer) => {
  const body = await readJson(exchange, submission, SUBMISSION_LIMIT_BYTES);
  if (body.isErr()) return err(body.error);
  if (!trainer.spec.models.includes(body.value.model)) {
    const message = `must be one of ${JSON.stringify(trainer.spec.models)}`;
    return err(new InvalidRequestError([{ field: 'model', message }]));
  }
  const row = await parts.rollouts.submit(trainer.metadata.name, body.value, trainer.spec.shards ?? 1);
  if (row.isErr()) return err(fromState(row.error));
  sendJson(exchange.response, 202, { rolloutId: body.value.rolloutId, slots: row.value.slots });
  return ok(undefined);
};

const draw: TrainerHandler = async (parts, exchange, trainer) => {
  const body = await readJson(exchange, drawRequest, SMALL_BODY_LIMIT_BYTES);
  if (body.isErr()) return err(body.error);
  const signal = disconnectSignal(exchange.response);
  const batch = await parts.delivery.draw(trainer, body.value, exchange.requestId, signal);
  if (batch.isErr()) return err(batch.error);
  sendJson(exchange.response, 200, batch.value);
  return ok(undefined);
};

const acknowledge: TrainerHandler = async (parts, exchange, trainer) => {
  const body = await readJson(exchange, acknowledgement, SMALL_BODY_LIMIT_BYTES);
  if (body.isErr()) return err(body.error);
  const { cursor, attempt, digest } = body.value;
  const done = await parts.batches.acknowledge(trainer.metadata.name, cursor, attempt, digest);
  if (done.isErr()) return err(fromState(done.error));
  sendJson(exchange.response, 200, { cursor, acknowledged: true });
  return ok(undefined);
};

const cancel: TrainerHandler = async (parts, exchange, trainer) => {
  const rolloutId = exchange.params.rollout ?? '';
  const done = await parts.rollouts.cancel(trainer.metadata.name, rolloutId);
  if (done.isErr()) return err(fromState(done.error));
  sendJson(exchange.response, 200, { rolloutId, state: 'cancelled' });
  return ok(undefined);
};

const progress: TrainerHandler = async (parts, exchange, trainer) => {
  const found = await parts.rollouts.progress(trainer.metadata.name, exchange.params.rollout ?? '');
  if (found.isErr()) return err(fromState(found.error));
  sendJson(exchange.response, 200, found.value);
  return ok(undefined);
};
