/** Messages between nodes: TypeBox with JSON over HTTP. */
import type { Result } from 'neverthrow';
import Type, { type Static } from 'typebox';
import type { HttpClient } from '../transport/http-client.js';
import { exchangeJson } from './json-exchange.js';
import type { ProtocolError } from './protocol-error.js';
import { Validator } from './validation.js';

/** What is known of a member. A larger incarnation, or with the same one a worse state, is newer. */
export const MemberRecordSchema = Type.Object({
  id: Type.String(),
  address: Type.String(),
  zone: Type.String(),
  /** Machine that it runs on, as the machine list names it. */
  machine: Type.String(),
  incarnation: Type.Integer(),
  state: Type.Union([
    Type.Literal('alive'),
    Type.Literal('suspect'),
    Type.Literal('dead'),
    Type.Literal('left'),
  ]),
});
export type MemberRecord = Static<typeof MemberRecordSchema>;

export const ProbeSchema = Type.Object({
  from: MemberRecordSchema,
  rumours: Type.Array(MemberRecordSchema, { maxItems: 4096 }),
  revision: Type.Integer(),
  /** Hash of all records that the sender holds: with equal ones there is nothing to exchange. */
  digest: Type.Integer(),
  /** Whether the sender has a vote; see `Membership.isEstablished`. */
  established: Type.Boolean(),
  /** Asks for all records instead of the newest rumours. */
  full: Type.Optional(Type.Boolean()),
});
export type Probe = Static<typeof ProbeSchema>;

export const IndirectProbeSchema = Type.Object({ address: Type.String() });

/** Asks for configuration newer than `haveRevision`; the answer may be held for `waitMs`. */
export const ConfigPullSchema = Type.Object({
  haveRevision: Type.Integer({ minimum: 0 }),
  waitMs: Type.Integer({ minimum: 0, maximum: 10_000 }),
});
export type ConfigPull = Static<typeof ConfigPullSchema>;

export const ConfigChangeSchema = Type.Object({
  kind: Type.String(),
  name: Type.String(),
  /** The new resource, or null when it was deleted. */
  resource: Type.Unknown(),
});

/** One accepted revision. Source: the table row `config/log/{revision}`. */
export const ConfigEntrySchema = Type.Object({
  revision: Type.Integer(),
  operationId: Type.String(),
  changes: Type.Array(ConfigChangeSchema),
});
export type ConfigEntry = Static<typeof ConfigEntrySchema>;

export const ConfigPullAnswerSchema = Type.Object({
  revision: Type.Integer(),
  /** Age of the confirmation of `revision` at the time of the answer; absent when there is none. */
  confirmedAgeMs: Type.Optional(Type.Number()),
  /** How long the answer was held. */
  heldMs: Type.Number(),
  entries: Type.Array(ConfigEntrySchema),
  /** Everything, when the entries that are asked for are no longer kept. */
  snapshot: Type.Optional(Type.Array(ConfigChangeSchema)),
});
export type ConfigPullAnswer = Static<typeof ConfigPullAnswerSchema>;

/** Asks for the revision in force once it is at least `atLeast`, or after `waitMs`. */
export const RevisionQuerySchema = Type.Object({
  atLeast: Type.Integer({ minimum: 0 }),
  waitMs: Type.Integer({ minimum: 0, maximum: 10_000 }),
  /** Committed entries up to `atLeast`, so that the member need not fetch them. */
  entries: Type.Array(ConfigEntrySchema),
});
export type RevisionQuery = Static<typeof RevisionQuerySchema>;
export const RevisionAnswerSchema = Type.Object({
  id: Type.String(),
  revision: Type.Integer(),
  /** Whether the member has read the table itself since it started; others have no vote. */
  voter: Type.Boolean(),
  /** Members that the member counts for a majority; of several answers the largest number counts. */
  electorate: Type.Integer({ minimum: 1 }),
});
export type RevisionAnswer = Static<typeof RevisionAnswerSchema>;

/** Asks for decision records of a request or subject. */
export const DecisionQuerySchema = Type.Object({ subject: Type.String() });
export const DecisionAnswerSchema = Type.Object({ decisions: Type.Array(Type.Unknown()) });

const probe = new Validator(ProbeSchema);
const ack = new Validator(Type.Object({ alive: Type.Boolean() }));
const pullAnswer = new Validator(ConfigPullAnswerSchema);
const revisionAnswer = new Validator(RevisionAnswerSchema);
const decisionAnswer = new Validator(DecisionAnswerSchema);

const PROBE_TIMEOUT_MS = 500;
const INDIRECT_TIMEOUT_MS = 1_200;
const TIMEOUT_MARGIN_MS = 1_000;

/** Client of other nodes. */
export class PeerClient {
  constructor(
    private readonly client: HttpClient,
    private readonly token: string,
  ) {}

  /** Probes a member and exchanges rumours. */
  probe(address: string, message: Probe): Promise<Result<Probe, ProtocolError>> {
    return this.post(address, '/peer/probe', message, PROBE_TIMEOUT_MS, probe);
  }

  /** Asks a member to probe another one. */
  probeIndirectly(address: string, target: string): Promise<Result<{ alive: boolean }, ProtocolError>> {
    return this.post(address, '/peer/probe-indirect', { address: target }, INDIRECT_TIMEOUT_MS, ack);
  }

  /** Pulls configuration. */
  pullConfig(
    address: string,
    pull: ConfigPull,
    signal?: AbortSignal,
  ): Promise<Result<ConfigPullAnswer, ProtocolError>> {
    return this.post(address, '/peer/config', pull, pull.waitMs + TIMEOUT_MARGIN_MS, pullAnswer, signal);
  }

  /** Asks for the revision in force. */
  revision(address: string, query: RevisionQuery): Promise<Result<RevisionAnswer, ProtocolError>> {
    return this.post(address, '/peer/revision', query, query.waitMs + TIMEOUT_MARGIN_MS, revisionAnswer);
  }

  /** Asks for decision records. */
  decisions(address: string, subject: string): Promise<Result<{ decisions: unknown[] }, ProtocolError>> {
    return this.post(address, '/peer/decisions', { subject }, PROBE_TIMEOUT_MS, decisionAnswer);
  }

  private post<Schema extends Parameters<typeof exchangeJson>[2]['schema']>(
    address: string,
    path: string,
    json: unknown,
    timeoutMs: number,
    answer: Validator<Schema>,
    signal?: AbortSignal,
  ) {
    const headers = { authorization: `Bearer ${this.token}` };
    const call = { method: 'POST', url: `${address}${path}`, json, headers, signal };
    return exchangeJson(this.client, { ...call, headTimeoutMs: timeoutMs, idleTimeoutMs: timeoutMs }, answer);
  }
}
