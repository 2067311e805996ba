/** The platform's object store: wire format and client. Objects are written once and read by name. */
import { err, ok, type Result } from 'neverthrow';
import Type from 'typebox';
import type { HttpClient } from '../transport/http-client.js';
import { exchangeJson, retryAfterMs } from './json-exchange.js';
import { fromTransport, ProtocolError } from './protocol-error.js';
import { Validator } from './validation.js';

const CALL_TIMEOUT_MS = 5_000;
const HTTP_NOT_FOUND = 404;
const HTTP_TOO_MANY_REQUESTS = 429;
const names = new Validator(Type.Object({ names: Type.Array(Type.String()) }));

/** Client of the object store at `baseUrl`. */
export class ObjectStoreClient {
  constructor(
    private readonly client: HttpClient,
    private readonly baseUrl: string,
  ) {}

  /** Writes an object. Writing the same bytes again is harmless. */
  async put(name: string, bytes: Buffer): Promise<Result<void, ProtocolError>> {
    const answer = await this.exchange('PUT', name, bytes);
    return answer.map(() => undefined);
  }

  /** Reads an object; `undefined` when there is none. */
  async get(name: string): Promise<Result<Buffer | undefined, ProtocolError>> {
    return this.exchange('GET', name);
  }

  /** Names that start with `prefix`, in order. */
  async list(prefix: string): Promise<Result<string[], ProtocolError>> {
    const url = `${this.baseUrl}/objects?prefix=${encodeURIComponent(prefix)}`;
    const answer = await exchangeJson(
      this.client,
      { method: 'GET', url, headTimeoutMs: CALL_TIMEOUT_MS },
      names,
    );
    return answer.map((value) => value.names);
  }

  private async exchange(
    method: string,
    name: string,
    body?: Buffer,
  ): Promise<Result<Buffer | undefined, ProtocolError>> {
    const url = `${this.baseUrl}/objects/${encodeURIComponent(name)}`;
    const response = await this.client.exchange({ method, url, body, headTimeoutMs: CALL_TIMEOUT_MS });
    if (response.isErr()) return err(fromTransport(response.error, `${method} object`));
    const { status, headers } = response.value;
    if (status < 300) return ok(response.value.body);
    if (status === HTTP_NOT_FOUND) return ok(undefined);
    const failure = status === HTTP_TOO_MANY_REQUESTS ? 'rate-limited' : 'unavailable';
    return err(
      new ProtocolError(failure, 'unknown', `${method} object: status ${status}`, retryAfterMs(headers)),
    );
  }
}
