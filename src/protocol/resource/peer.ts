/** Messages between nodes, sent as JSON over HTTP. */
import type { Result } from 'neverthrow';
import Type, { type Static } from 'typebox';
import type { HttpClient } from '../../transport/http-client.js';
import type { ProtocolError } from '../protocol-error.js';
import { Validator } from '../validation.js';
import { exchangeJson } from './json-exchange.js';

/** A node as recorded in the store. */
export const NodeRecordSchema = Type.Object({
  id: Type.String(),
  /** Base URL for calls from other nodes. */
  address: Type.String(),
  zone: Type.String(),
  /** Name in the machine list. */
  machine: Type.String(),
  /** Incarnation ID, different for each process of a node. */
  life: Type.String(),
});
export type NodeRecord = Static<typeof NodeRecordSchema>;

/** Query for the current configuration revision. */
export const RevisionQuerySchema = Type.Object({});
export const RevisionAnswerSchema = Type.Object({ revision: Type.Integer() });
export type RevisionAnswer = Static<typeof RevisionAnswerSchema>;

/** Query for decision records about a subject. */
export const DecisionQuerySchema = Type.Object({ subject: Type.String() });
const DecisionAnswerSchema = Type.Object({ decisions: Type.Array(Type.Unknown()) });

const revisionAnswer = new Validator(RevisionAnswerSchema);
const decisionAnswer = new Validator(DecisionAnswerSchema);

/** Short, since operators wait for these calls. */
const CALL_TIMEOUT_MS = 500;

/** Client for calls to other nodes. */
export class PeerClient {
  constructor(
    private readonly client: HttpClient,
    private readonly token: string,
  ) {}

  revision(address: string): Promise<Result<RevisionAnswer, ProtocolError>> {
    return this.post(address, '/peer/revision', {}, revisionAnswer);
  }

  decisions(address: string, subject: string): Promise<Result<{ decisions: unknown[] }, ProtocolError>> {
    return this.post(address, '/peer/decisions', { subject }, decisionAnswer);
  }

  private post<Schema extends Parameters<typeof exchangeJson>[2]['schema']>(
    address: string,
    path: string,
    json: unknown,
    answer: Validator<Schema>,
  ) {
    const headers = { authorization: `Bearer ${this.token}` };
    const timeouts = { headTimeoutMs: CALL_TIMEOUT_MS, idleTimeoutMs: CALL_TIMEOUT_MS };
    return exchangeJson(
      this.client,
      { method: 'POST', url: `${address}${path}`, json, headers, ...timeouts },
      answer,
    );
  }
}
