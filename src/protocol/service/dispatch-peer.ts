/**
 * Client and wire format of remote dispatch: a node sends a request to a dispatcher of its service over the
 * peer port. A message is one line of JSON followed by the body; `dispatch-messages.ts` explains its fields.
 * The response head acknowledges the call, which distinguishes a paused node from a slow replica.
 */
import type { Readable } from 'node:stream';
import { err, ok, type Result } from 'neverthrow';
import Type, { type Static } from 'typebox';
import { discardBody, type HttpClient, readFully } from '../../transport/http-client.js';
import type { MemoryBudget } from '../../transport/memory-budget.js';
import { TransportError } from '../../transport/transport-error.js';
import { Validator } from '../validation.js';

export const DISPATCH_PATH = '/dispatch';
/** Larger bodies are not sent to a dispatcher, which bounds the cost of the additional hop. */
export const MAX_DISPATCHED_BODY_BYTES = 256 * 1024;
/** Message and body; above the largest body of a replica's answer. */
export const MAX_DISPATCH_BYTES = 17 * 1024 * 1024;

/** In characters. */
const MAX_NAME_LENGTH = 512;
const MAX_EXCLUDED = 64;
const LINE_FEED = 0x0a;
const STATUS_OK = 200;

const HeadersSchema = Type.Record(Type.String(), Type.Union([Type.String(), Type.Array(Type.String())]));

const CallSchema = Type.Object({
  service: Type.String({ maxLength: MAX_NAME_LENGTH }),
  workKind: Type.String({ maxLength: MAX_NAME_LENGTH }),
  id: Type.String({ maxLength: MAX_NAME_LENGTH }),
  method: Type.String({ maxLength: MAX_NAME_LENGTH }),
  path: Type.String(),
  host: Type.String({ maxLength: MAX_NAME_LENGTH }),
  headers: HeadersSchema,
  tenant: Type.Optional(Type.String({ maxLength: MAX_NAME_LENGTH })),
  rank: Type.Number(),
  party: Type.String({ maxLength: MAX_NAME_LENGTH }),
  isPatient: Type.Boolean(),
  isExtra: Type.Boolean(),
  isRetry: Type.Boolean(),
  /** Time until the latency target, milliseconds. */
  aimMs: Type.Number(),
  /** Time until the deadline, milliseconds. */
  leftMs: Type.Number({ minimum: 0 }),
  excluded: Type.Array(Type.String({ maxLength: MAX_NAME_LENGTH }), { maxItems: MAX_EXCLUDED }),
  configVersion: Type.Number(),
  /** Whether the store answers the calling node, so that its configuration is current. */
  isServed: Type.Boolean(),
  /** Job on whose behalf the request is sent; earlier builds omit it. */
  jobId: Type.Optional(Type.String({ maxLength: MAX_NAME_LENGTH })),
  /** Latest time of sending on the clock of the store, milliseconds; omitted while that clock is unknown. */
  sentAtMs: Type.Optional(Type.Number()),
});
export type DispatchMessage = Static<typeof CallSchema>;

const ReplicaSchema = Type.Object({ id: Type.String(), address: Type.String() });
const CapacitySchema = Type.Object({ free: Type.Number(), slots: Type.Number(), waiting: Type.Number() });

const OutcomeSchema = Type.Object({
  kind: Type.Union([
    Type.Literal('answered'),
    Type.Literal('declined'),
    Type.Literal('unknown'),
    Type.Literal('cancelled'),
  ]),
  reason: Type.Optional(Type.String()),
  isFull: Type.Optional(Type.Boolean()),
  status: Type.Optional(Type.Integer({ minimum: 200, maximum: 599 })),
  headers: Type.Optional(HeadersSchema),
  signature: Type.Optional(Type.String()),
  isFramed: Type.Optional(Type.Boolean()),
  replica: Type.Optional(ReplicaSchema),
  hasEndedReplica: Type.Boolean(),
  retryAfterMs: Type.Optional(Type.Number()),
  isClosed: Type.Optional(Type.Boolean()),
  room: Type.Optional(CapacitySchema),
});
export type DispatchOutcomeMessage = Static<typeof OutcomeSchema>;

export interface Framed<Message> {
  readonly message: Message;
  readonly body: Buffer;
}

const callValidator = new Validator(CallSchema);
const outcomeValidator = new Validator(OutcomeSchema);

function frame(message: object, body: Buffer): Buffer {
  return Buffer.concat([Buffer.from(`${JSON.stringify(message)}\n`, 'utf8'), body]);
}

function unframe(bytes: Buffer): { line: unknown; body: Buffer } | undefined {
  const end = bytes.indexOf(LINE_FEED);
  if (end < 0) return undefined;
  try {
    return { line: JSON.parse(bytes.toString('utf8', 0, end)), body: bytes.subarray(end + 1) };
  } catch {
    // Callers handle it like any other invalid message: as a rejected call or a lost outcome.
    return undefined;
  }
}

/** Parses the bytes of a request; `undefined` if they are not a valid message. */
export function parseDispatch(bytes: Buffer): Framed<DispatchMessage> | undefined {
  const parts = unframe(bytes);
  const message = parts && callValidator.check(parts.line).unwrapOr(undefined as never);
  return parts && message && { message, body: parts.body };
}

export function renderDispatchOutcome(message: DispatchOutcomeMessage, body: Buffer): Buffer {
  return frame(message, body);
}

/** Result of a call to another node. */
export type PeerDispatch =
  | { readonly kind: 'outcome'; readonly outcome: Framed<DispatchOutcomeMessage> }
  /** This node has no memory for the message; nothing was sent. */
  | { readonly kind: 'not-sent' }
  /** The other node certainly did not accept the call. */
  | { readonly kind: 'not-taken'; readonly reason: string }
  /** The other node may have accepted the call, and the request may run. */
  | { readonly kind: 'lost'; readonly reason: string };

export interface PeerDispatchOptions {
  /** Called when the other node acknowledges the call. */
  readonly onAcknowledged: () => void;
  /** Timeout for the outcome, milliseconds. */
  readonly timeoutMs: number;
  readonly signal: AbortSignal;
}

/**
 * Sends a call to the node at `address` (`IP:PORT`), unless the budget has no room for its message. Never retries,
 * never rejects.
 */
export async function dispatchAtPeer(
  http: HttpClient,
  budget: MemoryBudget,
  address: string,
  call: Framed<DispatchMessage>,
  options: PeerDispatchOptions,
): Promise<PeerDispatch> {
  const bytes = frame(call.message, call.body);
  const holding = budget.tryHold(bytes.length);
  if (!holding) return { kind: 'not-sent' };
  try {
    return await exchange(http, budget, address, bytes, options);
  } finally {
    holding.release();
  }
}

async function exchange(
  http: HttpClient,
  budget: MemoryBudget,
  address: string,
  bytes: Buffer,
  { onAcknowledged, timeoutMs, signal }: PeerDispatchOptions,
): Promise<PeerDispatch> {
  const response = await http.send({
    method: 'POST',
    url: `http://${address}${DISPATCH_PATH}`,
    headers: { 'content-type': 'application/octet-stream' },
    body: bytes,
    headTimeoutMs: timeoutMs,
    idleTimeoutMs: timeoutMs,
    signal,
  });
  if (response.isErr())
    return { kind: response.error.requestSent ? 'lost' : 'not-taken', reason: response.error.message };
  if (response.value.status !== STATUS_OK) {
    void discardBody(response.value.body);
    return { kind: 'not-taken', reason: `status ${response.value.status}` };
  }
  onAcknowledged();
  const read = await readOutcome(response.value.body, budget);
  return read.isOk()
    ? { kind: 'outcome', outcome: read.value }
    : { kind: 'lost', reason: read.error.message };
}

async function readOutcome(
  body: Readable,
  budget: MemoryBudget,
): Promise<Result<Framed<DispatchOutcomeMessage>, TransportError>> {
  const bytes = await readFully(body, MAX_DISPATCH_BYTES, budget);
  return bytes.andThen((whole) => {
    const parts = unframe(whole);
    const message = parts && outcomeValidator.check(parts.line).unwrapOr(undefined as never);
    if (!parts || !message)
      return err(new TransportError('connection-lost', true, 'the dispatch outcome is not a valid message'));
    return ok({ message, body: parts.body });
  });
}
