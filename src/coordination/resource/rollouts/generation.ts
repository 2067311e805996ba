/**
 * One generation: dispatched to an engine, resumed on another one when the stream is cut. Model work is
 * repeatable; what has been generated is kept and its weight versions stay with it.
 */
import { err, ok, type Result } from 'neverthrow';
import type { Metrics } from '../../../common/metrics.js';
import type { ProtocolError } from '../../../protocol/protocol-error.js';
import type { EngineClient, EngineRequest, EngineStream } from '../../../protocol/resource/engine.js';
import type { ResourceOf } from '../../../protocol/resource/resource.js';
import type { BackendEntry } from '../../../state/resource/backends/index.js';
import type { DecisionLog } from '../../../state/resource/decision-log.js';
import { toTransportError } from '../../../transport/transport-error.js';
import { CoordinationError, fromBackend, worseOf } from '../coordination-error.js';
import type { RouteQuery, Router, WorkGate } from '../requests/index.js';
import { isPastDeadline, type RequestContext } from '../requests/index.js';
import { EventTranscript } from './event-transcript.js';

/** What is to be generated. */
export interface GenerationRequest {
  readonly service: ResourceOf<'Service'>;
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly seed: number;
  readonly priority: number;
  /** Tokens in one event at least; more of them cost less to relay, and a cut loses that many at most. */
  readonly eventTokens?: number;
  /** Oldest version that may take part, asked anew before each dispatch. */
  readonly minVersion?: () => number;
  readonly residency?: readonly string[];
  readonly preferNewest?: boolean;
  /** What the decisions can be looked up by, besides the request. */
  readonly subjects: readonly string[];
}

/** Takes whole events as they come; false when the receiver has gone. */
export type EventSink = (events: Buffer) => Promise<boolean>;

/** Dispatches of one generation at most, the first one included. */
const MAX_DISPATCHES = 6;
const AT_CAPACITY_RETRY_MS = 500;
const NO_BACKEND_RETRY_MS = 2_000;

type StreamEnd = 'complete' | 'cut' | 'receiver-gone';

/** Runs generations. */
export class Generator {
  constructor(
    private readonly router: Router,
    private readonly engines: EngineClient,
    private readonly gate: WorkGate,
    private readonly decisions: DecisionLog,
    private readonly metrics: Metrics,
  ) {}

  /** Generates to the end. On an error, what had been passed to `sink` before stands there without an end marker. */
  async generate(
    context: RequestContext,
    order: GenerationRequest,
    sink: EventSink,
  ): Promise<Result<EventTranscript, CoordinationError>> {
    const transcript = new EventTranscript();
    const excluded = new Set<string>();
    let lastFailure: CoordinationError | undefined;
    for (let dispatch = 0; dispatch < MAX_DISPATCHES; dispatch += 1) {
      if (context.signal.aborted) return err(this.givenUp(context, transcript));
      const opened = await this.dispatch(context, order, transcript, excluded);
      if (opened.isErr()) {
        if (!opened.error.mayRetry) return err(worseOf(lastFailure, opened.error.failure));
        lastFailure = worseOf(lastFailure, opened.error.failure);
        continue;
      }
      const { stream, backend, release } = opened.value;
      const end = await this.relay(stream, transcript, sink).finally(release);
      if (end === 'complete') return this.finish(order, backend, transcript);
      if (end === 'receiver-gone' || context.signal.aborted) return err(this.givenUp(context, transcript));
      backend.noteFailure('stream cut');
      excluded.add(backend.name);
      this.noteResume(context, order, backend, transcript);
      const cut = new CoordinationError(
        'backend-failed',
        'unknown',
        `${backend.name}: stream cut`,
        AT_CAPACITY_RETRY_MS,
      );
      lastFailure = worseOf(lastFailure, cut);
    }
    return err(
      lastFailure ?? new CoordinationError('backend-failed', 'unknown', 'no engine finished the work'),
    );
  }

  private async dispatch(
    context: RequestContext,
    order: GenerationRequest,
    transcript: EventTranscript,
    excluded: Set<string>,
  ) {
    const open = this.gate.check(order.service);
    if (open.isErr()) return err({ mayRetry: false, failure: open.error });
    const resume = readResume(transcript);
    if (resume.isErr()) return err({ mayRetry: false, failure: resume.error });
    const minVersion = order.minVersion?.();
    const route = this.router.choose({ ...routeQuery(order, excluded), minVersion });
    if (route.isErr()) {
      const { reason, inputs } = route.error;
      const isFull = reason === 'at-capacity';
      const wait = isFull ? AT_CAPACITY_RETRY_MS : NO_BACKEND_RETRY_MS;
      const failure = new CoordinationError(
        isFull ? 'overloaded' : 'no-backend',
        'no',
        describeRejected(inputs),
        wait,
      );
      this.decisions.record({
        kind: 'refuse',
        subjects: subjectsOf(context, order),
        choice: 'none',
        reason,
        inputs,
      });
      return err({ mayRetry: false, failure });
    }
    const { backend, release, inputs } = route.value;
    this.decisions.record({
      kind: 'route',
      subjects: subjectsOf(context, order),
      choice: backend.name,
      reason: 'two-random-choices',
      inputs,
    });
    const request: EngineRequest = {
      request_id: context.requestId,
      model: order.model,
      prompt: order.prompt,
      max_tokens: order.maxTokens,
      priority: order.priority,
      seed: order.seed,
      ...(order.eventTokens !== undefined ? { event_tokens: order.eventTokens } : {}),
      ...(resume.value ? { resume: resume.value } : {}),
      ...(minVersion !== undefined ? { min_version: minVersion } : {}),
    };
    const started = await this.engines.generate(backend.declaration.spec.address, request, context.signal);
    if (started.isErr()) {
      release();
      return err(this.noteRefusedDispatch(context, order, backend, started.error, excluded));
    }
    transcript.beginPart(backend.name);
    return ok({ stream: started.value, backend, release });
  }

  private noteRefusedDispatch(
    context: RequestContext,
    order: GenerationRequest,
    backend: BackendEntry,
    error: ProtocolError,
    excluded: Set<string>,
  ) {
    this.metrics.attempts.inc({ service: order.service.metadata.name, outcome: error.failure });
    if (context.signal.aborted) return { mayRetry: false, failure: this.givenUp(context) };
    if (error.failure !== 'refused') backend.noteFailure(error.message);
    excluded.add(backend.name);
    this.decisions.record({
      kind: 'retry',
      subjects: subjectsOf(context, order),
      choice: 'another engine',
      reason: error.failure,
      inputs: { note: `${backend.name}: ${error.message}` },
    });
    return { mayRetry: true, failure: fromBackend(error) };
  }

  private async relay(
    stream: EngineStream,
    transcript: EventTranscript,
    sink: EventSink,
  ): Promise<StreamEnd> {
    const { body } = stream.response;
    try {
      for await (const chunk of body) {
        const whole = transcript.append(chunk as Buffer);
        if (whole.length > 0 && !(await sink(whole))) {
          body.destroy();
          return 'receiver-gone';
        }
      }
    } catch (cause) {
      return toTransportError(cause).failure === 'cancelled' ? 'receiver-gone' : 'cut';
    }
    return transcript.isComplete ? 'complete' : 'cut';
  }

  private finish(order: GenerationRequest, backend: BackendEntry, transcript: EventTranscript) {
    backend.noteSuccess();
    this.metrics.attempts.inc({ service: order.service.metadata.name, outcome: 'complete' });
    return ok(transcript);
  }

  private noteResume(
    context: RequestContext,
    order: GenerationRequest,
    backend: BackendEntry,
    transcript: EventTranscript,
  ): void {
    this.metrics.attempts.inc({ service: order.service.metadata.name, outcome: 'cut' });
    if (!transcript.isEmpty) this.metrics.resumes.inc();
    this.decisions.record({
      kind: 'resume',
      subjects: subjectsOf(context, order),
      choice: 'another engine',
      reason: 'stream-cut',
      inputs: { note: `${backend.name} ended without an end marker` },
    });
  }

  private givenUp(context: RequestContext, transcript?: EventTranscript): CoordinationError {
    const executed = transcript && !transcript.isEmpty ? 'yes' : 'unknown';
    if (isPastDeadline(context))
      return new CoordinationError('deadline-passed', executed, 'the deadline has passed');
    return new CoordinationError('outcome-unknown', executed, 'the caller has gone');
  }
}

function subjectsOf(context: RequestContext, order: GenerationRequest): string[] {
  return [context.requestId, ...order.subjects];
}

function routeQuery(order: GenerationRequest, excluded: ReadonlySet<string>): RouteQuery {
  const { service, model, residency, preferNewest } = order;
  return { service, model, residency, preferNewest, excluded };
}

function describeRejected(inputs: { rejected?: readonly { backend: string; reason: string }[] }): string {
  const reasons = (inputs.rejected ?? []).map((one) => `${one.backend}: ${one.reason}`);
  return reasons.length === 0
    ? 'the service has no back ends'
    : `no back end may take the work (${reasons.join(', ')})`;
}

/** What an engine needs to go on from where the stream was cut. */
function readResume(transcript: EventTranscript) {
  if (transcript.isEmpty) return ok(undefined);
  return transcript
    .read()
    .map((read) => ({ text: read.text, tokens: read.tokens }))
    .mapErr((message) => new CoordinationError('backend-failed', 'unknown', message));
}
