/**
 * Client of the operator API, for the command line and for programs. Reads are safe to retry, as are commits
 * with the same operation ID; put, patch and remove are safe to retry with `ifMatch`.
 */
import { err, ok, type Result } from 'neverthrow';
import Type, { type TSchema } from 'typebox';
import type { HttpClient } from '../../transport/http-client.js';
import { fromTransport, ProtocolError } from '../protocol-error.js';
import { Validator } from '../validation.js';
import { exchangeJson } from './json-exchange.js';
import type { Manifest } from './manifest.js';
import {
  type Changeset,
  type ChangesetAnswer,
  ChangesetAnswerSchema,
  type Explanation,
  ExplanationSchema,
  type RevisionReport,
  RevisionReportSchema,
  type Status,
  StatusSchema,
} from './operator.js';
import { type Problem, ProblemSchema } from './problem.js';

/** A resource as returned by the API. */
export interface ApiResource {
  readonly apiVersion: string;
  readonly kind: string;
  readonly metadata: Record<string, unknown> & { readonly name: string; readonly resourceVersion: number };
  readonly spec: Record<string, unknown>;
  readonly status?: { readonly observedGeneration: number; readonly conditions: readonly ApiCondition[] };
}

export interface ApiCondition {
  readonly type: string;
  readonly status: string;
  readonly reason: string;
  readonly message: string;
}

export interface ResourceList {
  readonly resourceVersion: number;
  readonly items: readonly ApiResource[];
}

const anyJson = new Validator(Type.Unknown());
const changesetAnswer = new Validator(ChangesetAnswerSchema);
const explanation = new Validator(ExplanationSchema);
const revisionReport = new Validator(RevisionReportSchema);
const status = new Validator(StatusSchema);
const problem = new Validator(ProblemSchema);

/** Problem document of a rejection; `undefined` if the response has none. */
export function problemOf(error: ProtocolError): Problem | undefined {
  return problem.check(error.detail).unwrapOr(undefined as never);
}

export class OperatorClient {
  constructor(
    private readonly client: HttpClient,
    private readonly baseUrl: string,
    private readonly token: string,
  ) {}

  async list(kind: string, set?: string): Promise<Result<ResourceList, ProtocolError>> {
    const query = set === undefined ? '' : `?set=${encodeURIComponent(set)}`;
    return (await this.call('GET', `/v1/resources/${kind}${query}`, anyJson)) as Result<
      ResourceList,
      ProtocolError
    >;
  }

  async get(kind: string, name: string): Promise<Result<ApiResource, ProtocolError>> {
    return (await this.call('GET', resourcePath(kind, name), anyJson)) as Result<ApiResource, ProtocolError>;
  }

  /** Creates a resource, or replaces it if `ifMatch` is its version. */
  async put(manifest: Manifest, ifMatch?: number): Promise<Result<ApiResource, ProtocolError>> {
    const path = resourcePath(manifest.kind, manifest.metadata.name);
    return (await this.call('PUT', path, anyJson, manifest, matchHeaders(ifMatch))) as Result<
      ApiResource,
      ProtocolError
    >;
  }

  /** Applies a JSON merge patch. */
  async patch(
    kind: string,
    name: string,
    change: unknown,
    ifMatch?: number,
  ): Promise<Result<ApiResource, ProtocolError>> {
    const answer = await this.call('PATCH', resourcePath(kind, name), anyJson, change, matchHeaders(ifMatch));
    return answer as Result<ApiResource, ProtocolError>;
  }

  async remove(kind: string, name: string, ifMatch?: number): Promise<Result<unknown, ProtocolError>> {
    return this.call('DELETE', resourcePath(kind, name), anyJson, undefined, matchHeaders(ifMatch));
  }

  /** Commits changes as one revision. */
  commit(changeset: Changeset): Promise<Result<ChangesetAnswer, ProtocolError>> {
    return this.call('POST', '/v1/changesets', changesetAnswer, changeset);
  }

  async approve(version: string, note?: string): Promise<Result<ApiResource, ProtocolError>> {
    const path = `/v1/approvals/${encodeURIComponent(version)}`;
    return (await this.call('POST', path, anyJson, note ? { note } : {})) as Result<
      ApiResource,
      ProtocolError
    >;
  }

  /** Reports which nodes have applied a revision. */
  revision(revision: number): Promise<Result<RevisionReport, ProtocolError>> {
    return this.call('GET', `/v1/revisions/${revision}`, revisionReport);
  }

  /** Returns the decisions about a request, a sample or a back end. */
  explain(subject: string): Promise<Result<Explanation, ProtocolError>> {
    return this.call('GET', `/v1/explain/${encodeURIComponent(subject)}`, explanation);
  }

  status(): Promise<Result<Status, ProtocolError>> {
    return this.call('GET', '/v1/status', status);
  }

  /** Passes on the lines of a watch until the node ends it or `signal` aborts it, which is not an error. */
  async watch(
    kind: string,
    resourceVersion: number | undefined,
    onLine: (line: string) => void,
    signal: AbortSignal,
  ): Promise<Result<void, ProtocolError>> {
    const from = resourceVersion === undefined ? '' : `&resourceVersion=${resourceVersion}`;
    const url = `${this.baseUrl}/v1/resources/${kind}?watch=true${from}`;
    const sent = await this.client.send({ method: 'GET', url, headers: this.headers(), signal });
    if (sent.isErr()) return err(fromTransport(sent.error, 'watch'));
    const { status: code, body } = sent.value;
    const rest = await readLines(body, code === 200 ? onLine : () => {});
    if (rest.isErr() && !signal.aborted) return err(rest.error);
    if (code === 200) return ok(undefined);
    const detail = parseJson(rest.unwrapOr(''));
    return err(new ProtocolError('refused', 'none', `watch: status ${code}`, undefined, detail));
  }

  private call<Schema extends TSchema>(
    method: string,
    path: string,
    answer: Validator<Schema>,
    json?: unknown,
    extra: Record<string, string> = {},
  ) {
    const call = { method, url: `${this.baseUrl}${path}`, json, headers: { ...this.headers(), ...extra } };
    return exchangeJson(this.client, call, answer);
  }

  private headers(): Record<string, string> {
    return { authorization: `Bearer ${this.token}` };
  }
}

function resourcePath(kind: string, name: string): string {
  return `/v1/resources/${kind}/${encodeURIComponent(name)}`;
}

function matchHeaders(ifMatch: number | undefined): Record<string, string> {
  return ifMatch === undefined ? {} : { 'if-match': `"${ifMatch}"` };
}

/** Passes complete lines to `onLine` and returns the text after the last one. Fails if the stream is cut. */
async function readLines(
  body: AsyncIterable<Buffer | string>,
  onLine: (line: string) => void,
): Promise<Result<string, ProtocolError>> {
  let remainder = '';
  try {
    for await (const chunk of body) {
      const lines = (remainder + chunk.toString('utf8')).split('\n');
      remainder = lines.pop() ?? '';
      for (const line of lines) onLine(line);
    }
  } catch (cause) {
    return err(new ProtocolError('unavailable', 'none', `watch stream interrupted: ${String(cause)}`));
  }
  return ok(remainder);
}

/** Returns `undefined` for text that is not JSON, since the status of the rejection is reported anyway. */
function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
