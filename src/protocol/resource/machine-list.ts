/** Wire format and client of the list of machines. The list may be out of date. */
import type { Result } from 'neverthrow';
import Type, { type Static } from 'typebox';
import type { HttpClient } from '../../transport/http-client.js';
import type { ProtocolError } from '../protocol-error.js';
import { Validator } from '../validation.js';
import { exchangeJson } from './json-exchange.js';

export const MachineSchema = Type.Object({
  name: Type.String(),
  zone: Type.String(),
  state: Type.Union([Type.Literal('live'), Type.Literal('leaving'), Type.Literal('gone')]),
});
export type Machine = Static<typeof MachineSchema>;

const machines = new Validator(Type.Object({ machines: Type.Array(MachineSchema) }));
const CALL_TIMEOUT_MS = 2_000;

export class MachineListClient {
  constructor(
    private readonly client: HttpClient,
    private readonly baseUrl: string,
  ) {}

  async list(): Promise<Result<Machine[], ProtocolError>> {
    const url = `${this.baseUrl}/machines`;
    const answer = await exchangeJson(
      this.client,
      { method: 'GET', url, totalTimeoutMs: CALL_TIMEOUT_MS },
      machines,
    );
    return answer.map((value) => value.machines);
  }
}
