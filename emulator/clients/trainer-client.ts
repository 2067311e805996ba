/** Client of the trainers' interface. Each call may go to any node. */
import type { Result } from 'neverthrow';
import Type, { type TSchema } from 'typebox';
import type { ProtocolError } from '../../src/protocol/protocol-error.js';
import { exchangeJson } from '../../src/protocol/resource/json-exchange.js';
import { API_VERSION } from '../../src/protocol/resource/resource.js';
import {
  type Batch,
  BatchSchema,
  type DrawRequest,
  type RolloutProgress,
  RolloutProgressSchema,
  type RolloutSubmission,
} from '../../src/protocol/resource/trainer.js';
import { Validator } from '../../src/protocol/validation.js';
import type { HttpClient } from '../../src/transport/http-client.js';

const batch = new Validator(BatchSchema);
const progress = new Validator(RolloutProgressSchema);
const anything = new Validator(Type.Unknown());
const submitted = new Validator(Type.Object({ rolloutId: Type.String(), slots: Type.Integer() }));

/** Time beyond a draw's wait after which the call is cancelled, milliseconds. Chosen, not measured. */
const ANSWER_MARGIN_MS = 10_000;

/** Client of one trainer at one node. */
export class TrainerClient {
  constructor(
    private readonly client: HttpClient,
    private readonly baseUrl: string,
    private readonly trainer: string,
    private readonly token: string,
  ) {}

  /** Submits a rollout; repeating it is harmless. */
  submit(
    submission: RolloutSubmission,
  ): Promise<Result<{ rolloutId: string; slots: number }, ProtocolError>> {
    return this.call('POST', 'rollouts', submitted, submission);
  }

  /** Draws a batch. */
  draw(request: DrawRequest): Promise<Result<Batch, ProtocolError>> {
    return this.call('POST', 'draws', batch, request, (request.waitMs ?? 0) + ANSWER_MARGIN_MS);
  }

  /** Acknowledges a batch without drawing the next one. */
  acknowledge(one: Pick<Batch, 'cursor' | 'attempt' | 'digest'>): Promise<Result<unknown, ProtocolError>> {
    const { cursor, attempt, digest } = one;
    return this.call('POST', 'acknowledgements', anything, { cursor, attempt, digest });
  }

  /** Cancels a rollout. */
  cancel(rolloutId: string): Promise<Result<unknown, ProtocolError>> {
    return this.call('DELETE', `rollouts/${encodeURIComponent(rolloutId)}`, anything);
  }

  /** Progress of a rollout. */
  progress(rolloutId: string): Promise<Result<RolloutProgress, ProtocolError>> {
    return this.call('GET', `rollouts/${encodeURIComponent(rolloutId)}`, progress);
  }

  /** Publishes a version of a model. */
  publish(model: string, version: number, object: string): Promise<Result<unknown, ProtocolError>> {
    const name = `${model}-v${version}`;
    const json = {
      apiVersion: API_VERSION,
      kind: 'ModelVersion',
      metadata: { name },
      spec: { model, version, weights: { object } },
    };
    const headers = this.headers();
    const url = `${this.baseUrl}/v1/resources/ModelVersion/${name}`;
    return exchangeJson(this.client, { method: 'PUT', url, json, headers }, anything);
  }

  private call<Schema extends TSchema>(
    method: string,
    path: string,
    answer: Validator<Schema>,
    json?: unknown,
    headTimeoutMs?: number,
  ) {
    const url = `${this.baseUrl}/v1/trainers/${this.trainer}/${path}`;
    return exchangeJson(this.client, { method, url, json, headers: this.headers(), headTimeoutMs }, answer);
  }

  private headers(): Record<string, string> {
    return { authorization: `Bearer ${this.token}` };
  }
}
