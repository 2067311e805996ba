/**
 * The platform's transactional table service: wire format and typed client, all in this file.
 *
 * Rows are `{key, version, value}`. A transaction lists conditions on row versions (0 means absent) and
 * writes (a null value deletes); it is carried out whole or not at all. The service is rate-limited (429
 * with Retry-After), may be slow or down, and an answer may be lost after the change took effect.
 */
import { ok, type Result } from 'neverthrow';
import Type, { type Static } from 'typebox';
import type { HttpClient } from '../transport/http-client.js';
import { exchangeJson } from './json-exchange.js';
import type { ProtocolError } from './protocol-error.js';
import { Validator } from './validation.js';

export const RowSchema = Type.Object({ key: Type.String(), version: Type.Integer(), value: Type.Unknown() });
export type Row = Static<typeof RowSchema>;

export const TransactionSchema = Type.Object({
  conditions: Type.Array(Type.Object({ key: Type.String(), version: Type.Integer() })),
  writes: Type.Array(Type.Object({ key: Type.String(), value: Type.Unknown() })),
});
export type Transaction = Static<typeof TransactionSchema>;

export const ReadSchema = Type.Object({ keys: Type.Array(Type.String()) });
export const ScanSchema = Type.Object({
  prefix: Type.String(),
  after: Type.Optional(Type.String()),
  limit: Type.Integer({ minimum: 1, maximum: 10_000 }),
});

const CommittedSchema = Type.Object({ committed: Type.Boolean(), failed: Type.Array(Type.String()) });
export type TransactionOutcome = Static<typeof CommittedSchema>;

const committed = new Validator(CommittedSchema);
const rows = new Validator(Type.Object({ rows: Type.Array(RowSchema) }));

/** Time allowed for one call, milliseconds. */
const CALL_TIMEOUT_MS = 2_000;

/** Client of the table service at `baseUrl`. */
export class TableServiceClient {
  constructor(
    private readonly client: HttpClient,
    private readonly baseUrl: string,
  ) {}

  /** Runs a transaction. `committed: false` names the keys whose condition failed. */
  transact(transaction: Transaction): Promise<Result<TransactionOutcome, ProtocolError>> {
    return exchangeJson(this.client, this.call('/transact', transaction), committed);
  }

  /** Reads rows by key; absent ones are left out. */
  async read(keys: readonly string[]): Promise<Result<Row[], ProtocolError>> {
    if (keys.length === 0) return ok([]);
    const answer = await exchangeJson(this.client, this.call('/read', { keys }), rows);
    return answer.map((value) => value.rows);
  }

  /** Rows whose key starts with `prefix`, in key order, after the key `after`. */
  async scan(prefix: string, limit: number, after?: string): Promise<Result<Row[], ProtocolError>> {
    const answer = await exchangeJson(this.client, this.call('/scan', { prefix, limit, after }), rows);
    return answer.map((value) => value.rows);
  }

  private call(path: string, json: unknown) {
    return {
      method: 'POST',
      url: `${this.baseUrl}${path}`,
      json,
      headTimeoutMs: CALL_TIMEOUT_MS,
      idleTimeoutMs: CALL_TIMEOUT_MS,
    };
  }
}
