/**
 * Wire format and client of remote dispatch: a node sends a request to a dispatcher of its service, over the
 * port for other nodes. A message is one line of JSON, checked by schema, and then the bytes of the body. The
 * head of the answer acknowledges the call, so that a paused node is not mistaken for a slow replica.
 *
 * The names of the fields are translated in `coordination/service/dispatch/dispatch-messages.ts`, where those
 * that mislead are explained. A message that does not hold its schema is none.
 */
import type { Readable } from 'node:stream';
import { err, ok, type Result } from 'neverthrow';
import Type, { type Static } from 'typebox';
import { type HttpClient, readFully } from '../../transport/http-client.js';
import { TransportError } from '../../transport/transport-error.js';
import { Validator } from '../validation.js';

/** Path of the exchange. */
export const DISPATCH_PATH = '/dispatch';
/** Larger bodies are not sent to a dispatcher, bytes: bounds the cost of the hop. Chosen. */
export const MAX_DISPATCHED_BODY_BYTES = 256 * 1024;
/** Largest message with its body, bytes: above the largest body of a replica's answer. */
export const MAX_DISPATCH_BYTES = 17 * 1024 * 1024;

/** Bounds of a message: characters of a name, replicas that are excluded. Chosen, not measured: far above those in use. */
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
  /** Time until the latency target, and until the deadline, milliseconds. */
  aimMs: Type.Number(),
  leftMs: Type.Number({ minimum: 0 }),
  excluded: Type.Array(Type.String({ maxLength: MAX_NAME_LENGTH }), { maxItems: MAX_EXCLUDED }),
  configVersion: Type.Number(),
  /** Whether the store answers the calling node, so that its configuration is current. */
  isServed: Type.Boolean(),
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
  status: Type.Optional(Type.Integer()),
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

/** A message and the body that follows it. */
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
    // The callers treat it like any other invalid message: as a rejected call, or as a lost outcome.
    return undefined;
  }
}

/** The call in the bytes of a request; `undefined` when they are no valid message. */
export function parseDispatch(bytes: Buffer): Framed<DispatchMessage> | undefined {
  const parts = unframe(bytes);
  const message = parts && callValidator.check(parts.line).unwrapOr(undefined as never);
  return parts && message && { message, body: parts.body };
}

/** The bytes of an outcome. */
export function renderDispatchOutcome(message: DispatchOutcomeMessage, body: Buffer): Buffer {
  return frame(message, body);
}

/** Result of a call to another node. */
export type PeerDispatch =
  | { readonly kind: 'outcome'; readonly outcome: Framed<DispatchOutcomeMessage> }
  /** It was certainly not taken. */
  | { readonly kind: 'not-taken'; readonly reason: string }
  /** It may have been taken, and may run. */
  | { readonly kind: 'lost'; readonly reason: string };

export interface PeerDispatchOptions {
  /** Called when the other node acknowledges the call. */
  readonly onAcknowledged: () => void;
  /** Time-out of the outcome, milliseconds. */
  readonly timeoutMs: number;
  readonly signal: AbortSignal;
}

/** Sends a call to the node at `address` (`IP:PORT`). Never repeats, never rejects. */
export async function dispatchAtPeer(
  http: HttpClient,
  address: string,
  { message, body }: Framed<DispatchMessage>,
  { onAcknowledged, timeoutMs, signal }: PeerDispatchOptions,
): Promise<PeerDispatch> {
  const sent = await http.send({
    method: 'POST',
    url: `http://${address}${DISPATCH_PATH}`,
    headers: { 'content-type': 'application/octet-stream' },
    body: frame(message, body),
    headTimeoutMs: timeoutMs,
    idleTimeoutMs: timeoutMs,
    signal,
  });
  if (sent.isErr())
    return { kind: sent.error.requestSent ? 'lost' : 'not-taken', reason: sent.error.message };
  if (sent.value.status !== STATUS_OK) {
    sent.value.body.resume();
    return { kind: 'not-taken', reason: `status ${sent.value.status}` };
  }
  onAcknowledged();
  const read = await readOutcome(sent.value.body);
  return read.isOk()
    ? { kind: 'outcome', outcome: read.value }
    : { kind: 'lost', reason: read.error.message };
}

async function readOutcome(body: Readable): Promise<Result<Framed<DispatchOutcomeMessage>, TransportError>> {
  const bytes = await readFully(body, MAX_DISPATCH_BYTES);
  return bytes.andThen((whole) => {
    const parts = unframe(whole);
    const message = parts && outcomeValidator.check(parts.line).unwrapOr(undefined as never);
    if (!parts || !message)
      return err(new TransportError('connection-lost', true, 'the outcome cannot be read'));
    return ok({ message, body: parts.body });
  });
}
