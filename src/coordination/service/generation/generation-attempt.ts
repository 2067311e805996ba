/**
 * One attempt to generate a sample, or the rest of it, at one model replica: sends the request and streams
 * its events into the text. Each event is checked before it is kept, so that the text stays valid however the
 * attempt ends.
 */
import type { JobItem } from '../../../protocol/service/batch-job.js';
import { EventStreamParser, type StreamEvent } from '../../../protocol/service/event-stream.js';
import type { ReplicaAnswer, ReplicaClient } from '../../../protocol/service/replica.js';
import type { ReplicaState } from '../../../state/service/replicas/index.js';
import { readFully } from '../../../transport/http-client.js';
import { toTransportError } from '../../../transport/transport-error.js';
import { answerDefect } from '../dispatch/index.js';
import { AttemptMonitor } from './attempt-watch.js';
import type { GenerationOptions, GenerationOutcome } from './generation-terms.js';
import type { SampleText } from './sample-text.js';

const STATUS_OK = 200;
/** Another replica has the address: not a sign of full slots. */
const STATUS_MISDIRECTED = 421;
const STATUS_UNPROCESSABLE = 422;
const STATUS_INTERNAL_ERROR = 500;
/** Most bytes of an error body that are read, to keep the connection usable. Chosen, not measured. */
const MAX_ERROR_BODY_BYTES = 64 * 1024;

/** An attempt under way. */
interface AttemptContext {
  readonly client: ReplicaClient;
  readonly state: ReplicaState;
  readonly item: JobItem;
  readonly text: SampleText;
  readonly terms: GenerationOptions;
  readonly watch: AttemptMonitor;
}

/** Streams events of `item` from a replica into `text`. Never rejects. */
export async function attemptGeneration(
  client: ReplicaClient,
  state: ReplicaState,
  item: JobItem,
  text: SampleText,
  terms: GenerationOptions,
): Promise<GenerationOutcome> {
  const watch = new AttemptMonitor(terms, state);
  try {
    const outcome = await exchange({ client, state, item, text, terms, watch });
    if (outcome.kind === 'whole') return outcome;
    if (terms.signal.aborted) return { kind: 'cancelled' };
    return watch.outcome ?? outcome;
  } finally {
    watch.stop();
  }
}

async function exchange(attempt: AttemptContext): Promise<GenerationOutcome> {
  const { client, state, item, text, terms, watch } = attempt;
  const sent = await client.dispatch(state.replica, {
    id: item.id,
    method: 'POST',
    path: item.path,
    host: terms.host,
    tenant: terms.tenant,
    headers: item.headers,
    body: item.body,
    remainingMs: terms.remainingMs,
    lastEventId: text.lastEventId,
    requiredVersion: terms.isSingleVersion && text.eventCount > 0 ? text.versions[0] : undefined,
    signal: watch.signal,
  });
  if (sent.isErr()) {
    const reason = `${sent.error.failure}: ${sent.error.message}`;
    if (!sent.error.requestSent) return { kind: 'declined', reason, isFull: false };
    return { kind: 'broken', reason, isConnectionLost: sent.error.failure === 'connection-lost' };
  }
  watch.recordData();
  const answer = sent.value;
  if (answer.status !== STATUS_OK) return classifyErrorResponse(answer);
  if (answer.matchesRequest) terms.onAccepted();
  return streamEvents(attempt, answer);
}

async function classifyErrorResponse(answer: ReplicaAnswer): Promise<GenerationOutcome> {
  const reason = `status ${answer.status}`;
  if (answer.body.readable) await readFully(answer.body, MAX_ERROR_BODY_BYTES);
  if (!answer.matchesRequest) return { kind: 'broken', reason: 'the answer belongs to another request' };
  if (answer.isNotExecuted) return { kind: 'declined', reason, isFull: answer.status !== STATUS_MISDIRECTED };
  if (answer.status === STATUS_UNPROCESSABLE) return { kind: 'impossible', reason };
  if (answer.status === STATUS_INTERNAL_ERROR) return { kind: 'failed', reason };
  return { kind: 'broken', reason };
}

async function streamEvents(attempt: AttemptContext, answer: ReplicaAnswer): Promise<GenerationOutcome> {
  const defect = answerDefect(answer);
  if (defect) {
    answer.body.destroy();
    return { kind: 'broken', reason: defect };
  }
  const parser = new EventStreamParser();
  try {
    const problem = await readEvents(attempt, answer, parser);
    if (problem) return problem;
  } catch (cause) {
    const { failure, message } = toTransportError(cause);
    return { kind: 'broken', reason: message, isConnectionLost: failure === 'connection-lost' };
  }
  const { text } = attempt;
  if (parser.hasRemainder) return { kind: 'broken', reason: 'the stream ended within an event' };
  if (!answer.isFramed) return { kind: 'broken', reason: 'the stream ended with its connection' };
  if (text.eventCount === 0) return { kind: 'broken', reason: 'the stream has no event' };
  text.isComplete = true;
  return { kind: 'whole' };
}

/** Reads events until the stream ends or one must not be kept. Rejects when the connection breaks. */
async function readEvents(
  { client, state, text, terms, watch }: AttemptContext,
  answer: ReplicaAnswer,
  parser: EventStreamParser,
): Promise<GenerationOutcome | undefined> {
  let version = answer.weightVersion ?? state.versionOf(terms.model);
  for await (const chunk of answer.body as AsyncIterable<Buffer>) {
    watch.recordData();
    for (const event of parser.push(chunk)) {
      version = eventVersion(event, client.eventVersionField, version);
      const problem = validateEvent(event, version, text, terms);
      if (problem) {
        answer.body.destroy();
        return problem;
      }
      terms.onVersion(version);
      text.append(event.id, event.data, version);
      watch.recordEvent();
    }
  }
  return undefined;
}

/** The version that generated an event: NaN when its field is no number, `before` when it has none. */
function eventVersion(event: StreamEvent, field: string, before: number): number {
  const value = event.fields[field];
  return value === undefined ? before : Number(value);
}

/** Why an event must not be kept: it is not the next one, or its version does not fit the terms. */
function validateEvent(
  event: StreamEvent,
  version: number,
  text: SampleText,
  terms: GenerationOptions,
): GenerationOutcome | undefined {
  if (!text.isNext(event.id))
    return { kind: 'broken', reason: `event ${event.id} does not follow ${text.lastEventId}` };
  if (!Number.isInteger(version)) return { kind: 'broken', reason: 'the version of an event cannot be read' };
  if (version < terms.minVersion)
    return { kind: 'wrong-version', reason: `version ${version} is older than ${terms.minVersion}` };
  const [first] = text.versions;
  if (terms.isSingleVersion && first !== undefined && first !== version)
    return { kind: 'wrong-version', reason: `version ${version} differs from ${first}` };
  return undefined;
}
