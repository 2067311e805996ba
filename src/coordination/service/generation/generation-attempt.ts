/**
 * Makes one attempt to generate a sample, or the rest of it, at one model replica: sends the request and
 * appends the streamed events to the text. Each event is validated before it is appended, so the text stays
 * valid however the attempt ends.
 */
import type { JobItem } from '../../../protocol/service/batch-job.js';
import { EventStreamParser, type StreamEvent } from '../../../protocol/service/event-stream.js';
import type { ReplicaAnswer, ReplicaClient } from '../../../protocol/service/replica.js';
import type { ReplicaState } from '../../../state/service/replicas/index.js';
import { abandonBody, readFully } from '../../../transport/http-client.js';
import { toTransportError } from '../../../transport/transport-error.js';
import { answerDefect } from '../dispatch/index.js';
import { AttemptMonitor } from './attempt-monitor.js';
import type { GenerationOptions, GenerationOutcome } from './generation-options.js';
import type { SampleText } from './sample-text.js';

const STATUS_OK = 200;
/** The address belongs to another replica by now; says nothing about free slots. */
const STATUS_MISDIRECTED = 421;
const STATUS_UNPROCESSABLE = 422;
const STATUS_INTERNAL_ERROR = 500;
/** Error bodies up to this size are read, so that the connection can be reused. */
const MAX_ERROR_BODY_BYTES = 64 * 1024;

interface AttemptContext {
  readonly client: ReplicaClient;
  readonly state: ReplicaState;
  readonly item: JobItem;
  readonly text: SampleText;
  readonly options: GenerationOptions;
  readonly monitor: AttemptMonitor;
}

/** Appends the events that a replica generates for `item` to `text`. Never rejects. */
export async function attemptGeneration(
  client: ReplicaClient,
  state: ReplicaState,
  item: JobItem,
  text: SampleText,
  options: GenerationOptions,
): Promise<GenerationOutcome> {
  const monitor = new AttemptMonitor(options, state);
  try {
    const outcome = await exchange({ client, state, item, text, options, monitor });
    if (outcome.kind === 'whole') return outcome;
    if (options.signal.aborted) return { kind: 'cancelled' };
    return monitor.outcome ?? outcome;
  } finally {
    monitor.stop();
  }
}

async function exchange(context: AttemptContext): Promise<GenerationOutcome> {
  const { client, state, item, text, options, monitor } = context;
  const dispatched = await client.dispatch(state.replica, {
    id: item.id,
    method: 'POST',
    path: item.path,
    host: options.host,
    tenant: options.tenant,
    headers: item.headers,
    body: item.body,
    remainingMs: options.remainingMs,
    lastEventId: text.lastEventId,
    requiredVersion: options.isSingleVersion && text.eventCount > 0 ? text.versions[0] : undefined,
    signal: monitor.signal,
  });
  if (dispatched.isErr()) {
    const reason = `${dispatched.error.failure}: ${dispatched.error.message}`;
    if (!dispatched.error.requestSent) return { kind: 'declined', reason, isFull: false };
    return { kind: 'broken', reason, isConnectionLost: dispatched.error.failure === 'connection-lost' };
  }
  monitor.recordHead();
  const answer = dispatched.value;
  if (answer.status !== STATUS_OK) return classifyErrorResponse(answer, options);
  if (answer.matchesRequest) options.onAccepted();
  return streamEvents(context, answer);
}

async function classifyErrorResponse(
  answer: ReplicaAnswer,
  options: GenerationOptions,
): Promise<GenerationOutcome> {
  const reason = `status ${answer.status}`;
  if (answer.body.readable) await readFully(answer.body, MAX_ERROR_BODY_BYTES);
  if (!answer.matchesRequest) return { kind: 'broken', reason: 'the response belongs to another request' };
  if (answer.isVersionMismatch) {
    if (answer.weightVersion !== undefined) options.onVersion(answer.weightVersion);
    return { kind: 'version-mismatch', reason };
  }
  if (answer.status === STATUS_UNPROCESSABLE) return { kind: 'impossible', reason };
  if (answer.isNotExecuted) return { kind: 'declined', reason, isFull: answer.status !== STATUS_MISDIRECTED };
  if (answer.status === STATUS_INTERNAL_ERROR) return { kind: 'failed', reason };
  return { kind: 'broken', reason };
}

async function streamEvents(context: AttemptContext, answer: ReplicaAnswer): Promise<GenerationOutcome> {
  const defect = answerDefect(answer);
  if (defect) {
    abandonBody(answer.body);
    return { kind: 'broken', reason: defect };
  }
  const parser = new EventStreamParser();
  try {
    const rejection = await readEvents(context, answer, parser);
    if (rejection) return rejection;
  } catch (cause) {
    const { failure, message } = toTransportError(cause);
    return { kind: 'broken', reason: message, isConnectionLost: failure === 'connection-lost' };
  }
  const { text } = context;
  if (parser.hasRemainder) return { kind: 'broken', reason: 'the stream ended in the middle of an event' };
  if (!answer.isFramed)
    return { kind: 'broken', reason: 'the stream ended by connection close and may be truncated' };
  if (text.eventCount === 0) return { kind: 'broken', reason: 'the stream contains no events' };
  text.isComplete = true;
  return { kind: 'whole' };
}

/**
 * Appends events until the stream ends. Resolves to an outcome when an event is invalid; rejects when the
 * connection breaks.
 */
async function readEvents(
  context: AttemptContext,
  answer: ReplicaAnswer,
  parser: EventStreamParser,
): Promise<GenerationOutcome | undefined> {
  const { client, state, text, options } = context;
  let version = answer.weightVersion ?? state.versionOf(options.model);
  for await (const chunk of answer.body as AsyncIterable<Buffer>) {
    for (const event of parser.push(chunk)) {
      version = eventVersion(event, client.eventVersionField, version);
      const rejection = appendEvent(context, event, version);
      if (rejection) {
        abandonBody(answer.body);
        return rejection;
      }
    }
    if (text.isTooLarge) {
      abandonBody(answer.body);
      text.clear();
      return { kind: 'broken', reason: 'the text exceeds the size limit and begins anew' };
    }
  }
  return undefined;
}

/** Appends an event, or returns an outcome if it is invalid. */
function appendEvent(
  { text, options, monitor }: AttemptContext,
  event: StreamEvent,
  version: number,
): GenerationOutcome | undefined {
  const rejection = validateEvent(event, version, text, options);
  if (!rejection || rejection.kind === 'version-mismatch') options.onVersion(version);
  if (rejection) return rejection;
  text.append(event.id, event.data, version);
  monitor.recordEvent();
  return undefined;
}

/** Weight version of an event: NaN if its field is not a number, `previous` if the field is absent. */
function eventVersion(event: StreamEvent, field: string, previous: number): number {
  const value = event.fields[field];
  return value === undefined ? previous : Number(value);
}

/** Returns an outcome if the event is out of sequence or of an excluded weight version. */
function validateEvent(
  event: StreamEvent,
  version: number,
  text: SampleText,
  options: GenerationOptions,
): GenerationOutcome | undefined {
  if (!text.isNext(event.id))
    return { kind: 'broken', reason: `event ${event.id} is out of sequence after event ${text.lastEventId}` };
  if (!Number.isInteger(version))
    return { kind: 'broken', reason: 'the weight version of an event is not an integer' };
  if (version < options.minVersion)
    return { kind: 'wrong-version', reason: `version ${version} is below minimum ${options.minVersion}` };
  const [first] = text.versions;
  if (options.isSingleVersion && first !== undefined && first !== version)
    return { kind: 'version-mismatch', reason: `version ${version} differs from ${first}` };
  return undefined;
}
