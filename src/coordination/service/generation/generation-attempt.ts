/** One attempt to generate a sample, or the rest of it, at one model replica. */
import { monotonicMs } from '../../../common/clock.js';
import type { JobItem } from '../../../protocol/service/batch-job.js';
import { EventStreamParser, type StreamEvent } from '../../../protocol/service/event-stream.js';
import type { ReplicaAnswer, ReplicaClient } from '../../../protocol/service/replica.js';
import type { ReplicaState } from '../../../state/service/replicas/index.js';
import { readFully } from '../../../transport/http-client.js';
import { toTransportError } from '../../../transport/transport-error.js';
import { defectOf } from '../dispatch/index.js';
import type { SampleText } from './sample-text.js';

/** What an attempt must heed. */
export interface GenerationTerms {
  readonly host: string;
  /** Tenant on whose behalf it runs, if any. */
  readonly tenant?: string;
  readonly model: string;
  /** Oldest weight version that may make an event. */
  readonly minVersion: number;
  readonly isSingleVersion: boolean;
  /** Time that the replica may work on it, milliseconds. */
  readonly remainingMs: number;
  /** Longest silence before the attempt is broken off, milliseconds. */
  readonly stallMs: number;
  /** Why another replica would finish the sample sooner, at this pace here, if one would; asked again and again. */
  readonly reasonToMove: (pace: AttemptPace) => string | undefined;
  readonly priority?: number;
  /** Called when the replica has taken the request. */
  readonly onTaken: () => void;
  /** Called with the weight version of each event. */
  readonly onVersion: (version: number) => void;
  readonly signal: AbortSignal;
}

/** How an attempt ended. */
export type GenerationOutcome =
  | { readonly kind: 'whole' }
  /** Certainly not run. */
  | { readonly kind: 'declined'; readonly reason: string; readonly isFull: boolean }
  /** The replica failed the request: counts against the attempts of the item. */
  | { readonly kind: 'failed'; readonly reason: string }
  /** It can never be done. */
  | { readonly kind: 'impossible'; readonly reason: string }
  /** The replica's weights are too old, or differ where one version is asked for. */
  | { readonly kind: 'wrong-version'; readonly reason: string }
  /** The stream broke; what came before is kept. */
  | {
      readonly kind: 'broken';
      readonly reason: string;
      /** Whether the connection was lost, as when the replica ends. */
      readonly isConnectionLost?: boolean;
    }
  /** Broken off from here, to go on at a faster replica. */
  | { readonly kind: 'moved'; readonly reason: string }
  | { readonly kind: 'cancelled' };

const STATUS_IMPOSSIBLE = 422;
const STATUS_FAILED = 500;
const MAX_ERROR_BYTES = 64 * 1024;
/** How often an attempt is looked at, milliseconds. */
const WATCH_MS = 100;
/** Events over which the pace of an attempt is measured. */
const PACE_EVENTS = 6;

/** How fast an attempt goes on. */
export interface AttemptPace {
  /** Mean time of the last events, the silence since then included, milliseconds. */
  readonly eventMs: number;
}

/** How a watch has broken an attempt off, and why. */
type WatchBreak = Extract<GenerationOutcome, { kind: 'broken' | 'moved' }>;

/** Follows the events of an attempt; breaks it off after a silence, or when it would be finished sooner elsewhere. */
class AttemptWatch {
  private readonly controller = new AbortController();
  private readonly timer: NodeJS.Timeout;
  private readonly onAbort = () => this.controller.abort();
  private readonly forgetRestart: () => void;
  private lastDataAtMs = monotonicMs();
  /** Times of the last events, the oldest first. */
  private readonly eventTimes: number[] = [];
  private broken: WatchBreak | undefined;

  constructor(
    private readonly terms: Pick<GenerationTerms, 'stallMs' | 'reasonToMove' | 'signal'>,
    private readonly state: ReplicaState,
  ) {
    this.timer = setInterval(() => this.check(), WATCH_MS);
    terms.signal.addEventListener('abort', this.onAbort, { once: true });
    if (terms.signal.aborted) this.controller.abort();
    this.forgetRestart = state.onRestart(() =>
      this.breakOff({ kind: 'broken', reason: 'the replica has started again', isConnectionLost: true }),
    );
  }

  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** How the attempt was broken off from here, if it was. */
  get outcome(): WatchBreak | undefined {
    return this.broken;
  }

  /** Something has come. */
  noteData(): void {
    this.lastDataAtMs = monotonicMs();
  }

  /** An event has come. */
  noteEvent(): void {
    const before = this.eventTimes.at(-1);
    const now = monotonicMs();
    if (before !== undefined) this.state.noteEvent(now - before);
    this.eventTimes.push(now);
    if (this.eventTimes.length > PACE_EVENTS) this.eventTimes.shift();
  }

  stop(): void {
    clearInterval(this.timer);
    this.terms.signal.removeEventListener('abort', this.onAbort);
    this.forgetRestart();
  }

  private check(): void {
    const isSilent = monotonicMs() - this.lastDataAtMs >= this.terms.stallMs;
    const reason = isSilent ? undefined : this.reasonToMove();
    if (isSilent) this.breakOff({ kind: 'broken', reason: 'silence' });
    else if (reason !== undefined) this.breakOff({ kind: 'moved', reason });
  }

  private reasonToMove(): string | undefined {
    const [first] = this.eventTimes;
    if (first === undefined || this.eventTimes.length < PACE_EVENTS) return undefined;
    return this.terms.reasonToMove({ eventMs: (monotonicMs() - first) / this.eventTimes.length });
  }

  private breakOff(outcome: WatchBreak): void {
    this.broken ??= outcome;
    this.controller.abort();
  }
}

/** Streams events of `item` from a replica into `text`. Never rejects. */
export async function attemptGeneration(
  client: ReplicaClient,
  state: ReplicaState,
  item: JobItem,
  text: SampleText,
  terms: GenerationTerms,
): Promise<GenerationOutcome> {
  const watch = new AttemptWatch(terms, state);
  try {
    const outcome = await exchange(client, state, item, text, terms, watch);
    if (outcome.kind === 'whole') return outcome;
    if (terms.signal.aborted) return { kind: 'cancelled' };
    return watch.outcome ?? outcome;
  } finally {
    watch.stop();
  }
}

async function exchange(
  client: ReplicaClient,
  state: ReplicaState,
  item: JobItem,
  text: SampleText,
  terms: GenerationTerms,
  watch: AttemptWatch,
): Promise<GenerationOutcome> {
  const mustHaveVersion = terms.isSingleVersion && text.eventCount > 0 ? text.versions[0] : undefined;
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
    requiredVersion: mustHaveVersion,
    priority: terms.priority,
    signal: watch.signal,
  });
  if (sent.isErr()) {
    const reason = `${sent.error.failure}: ${sent.error.message}`;
    if (!sent.error.requestSent) return { kind: 'declined', reason, isFull: false };
    return { kind: 'broken', reason, isConnectionLost: sent.error.failure === 'connection-lost' };
  }
  watch.noteData();
  const answer = sent.value;
  if (answer.status === 200 && answer.isForRequest) terms.onTaken();
  if (answer.status === 200) return streamEvents(client, state, answer, text, terms, watch);
  return judgeRefusal(answer);
}

async function judgeRefusal(answer: ReplicaAnswer): Promise<GenerationOutcome> {
  const reason = `status ${answer.status}`;
  if (answer.body.readable) await readFully(answer.body, MAX_ERROR_BYTES);
  if (!answer.isForRequest) return { kind: 'broken', reason: 'the answer belongs to another request' };
  if (answer.isNotExecuted) return { kind: 'declined', reason, isFull: answer.status !== 421 };
  if (answer.status === STATUS_IMPOSSIBLE) return { kind: 'impossible', reason };
  if (answer.status === STATUS_FAILED) return { kind: 'failed', reason };
  return { kind: 'broken', reason };
}

async function streamEvents(
  client: ReplicaClient,
  state: ReplicaState,
  answer: ReplicaAnswer,
  text: SampleText,
  terms: GenerationTerms,
  watch: AttemptWatch,
): Promise<GenerationOutcome> {
  const defect = defectOf(answer);
  if (defect) {
    answer.body.destroy();
    return { kind: 'broken', reason: defect };
  }
  const parser = new EventStreamParser();
  let version = answer.weightVersion ?? state.versionOf(terms.model);
  try {
    for await (const chunk of answer.body as AsyncIterable<Buffer>) {
      watch.noteData();
      for (const event of parser.push(chunk)) {
        version = versionOf(event, client.eventVersionField, version);
        const problem = problemOf(event, version, text, terms);
        if (problem) {
          answer.body.destroy();
          return problem;
        }
        terms.onVersion(version);
        text.append(event.id, event.data, version);
        watch.noteEvent();
      }
    }
  } catch (cause) {
    const { failure, message } = toTransportError(cause);
    return { kind: 'broken', reason: message, isConnectionLost: failure === 'connection-lost' };
  }
  if (parser.hasRemainder) return { kind: 'broken', reason: 'the stream ended within an event' };
  if (!answer.isFramed) return { kind: 'broken', reason: 'the stream ended with its connection' };
  if (text.eventCount === 0) return { kind: 'broken', reason: 'the stream has no event' };
  text.isComplete = true;
  return { kind: 'whole' };
}

/** The version that made an event; NaN when the event names none that can be read. */
function versionOf(event: StreamEvent, field: string, before: number): number {
  const value = event.fields[field];
  return value === undefined ? before : Number(value);
}

function problemOf(
  event: StreamEvent,
  version: number,
  text: SampleText,
  terms: GenerationTerms,
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
