/**
 * Dispatches a generation to an engine. If the stream is interrupted, resumes on another engine after the
 * tokens received so far, which keep their weight versions. Any failure except a rejection by the router or
 * the work gate is retried, up to `MAX_DISPATCHES`, until the caller disconnects or the deadline passes.
 */
import { err, ok, type Result } from 'neverthrow';
import type { Metrics } from '../../../common/metrics.js';
import type { ProtocolError } from '../../../protocol/protocol-error.js';
import type { EngineClient, EngineRequest, EngineStream } from '../../../protocol/resource/engine.js';
import type { ResourceOf } from '../../../protocol/resource/resource.js';
import type { BackendEntry } from '../../../state/resource/backends/index.js';
import type { DecisionLog } from '../../../state/resource/decision-log.js';
import { abandonBody } from '../../../transport/http-client.js';
import { toTransportError } from '../../../transport/transport-error.js';
import { CoordinationError, type CoordinationResult, fromBackend, worseOf } from '../coordination-error.js';
import {
  AT_CAPACITY_RETRY_MS,
  isPastDeadline,
  type RequestContext,
  type RouteQuery,
  type Router,
  rejection,
  type WorkGate,
} from '../requests/index.js';
import { EventTranscript } from './event-transcript.js';

/** `priority` is 0 to 9; 9 is served first. */
export interface GenerationRequest {
  readonly service: ResourceOf<'Service'>;
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly seed: number;
  readonly priority: number;
  /** Minimum tokens per event; larger events are cheaper to relay, but an interruption loses a partial event. */
  readonly eventTokens?: number;
  /** Oldest weight version allowed; evaluated before each dispatch. */
  readonly minVersion?: () => number;
  readonly residency?: readonly string[];
  readonly preferNewest?: boolean;
  /** Subjects of the decision records besides the request ID. */
  readonly subjects: readonly string[];
}

/** Receives complete events; resolves to false if the receiver has disconnected. */
export type EventSink = (events: Buffer) => Promise<boolean>;

/** Includes the first dispatch; a resume loses little. */
const MAX_DISPATCHES = 6;

/** An open engine stream; `release` decrements the in-flight count of the engine. */
interface Dispatch {
  readonly stream: EngineStream;
  readonly backend: BackendEntry;
  readonly release: () => void;
}

/** A dispatch that failed, or whose stream was interrupted. */
interface DispatchFailure {
  readonly failure: CoordinationError;
  readonly mayRetry: boolean;
}

interface Run {
  readonly context: RequestContext;
  readonly request: GenerationRequest;
  readonly transcript: EventTranscript;
  /** Engines on which a dispatch failed. */
  readonly excluded: Set<string>;
}

type StreamEnd = 'complete' | 'cut' | 'receiver-gone';

export class Generator {
  constructor(
    private readonly router: Router,
    private readonly engines: EngineClient,
    private readonly gate: WorkGate,
    private readonly decisions: DecisionLog,
    private readonly metrics: Metrics,
  ) {}

  /**
   * Runs a generation to its end. On an error, `sink` has received a prefix of the events without the
   * end-of-stream event; the error states whether any token was generated.
   */
  async generate(
    context: RequestContext,
    request: GenerationRequest,
    sink: EventSink,
  ): CoordinationResult<EventTranscript> {
    const run: Run = { context, request, transcript: new EventTranscript(), excluded: new Set() };
    let lastFailure: CoordinationError | undefined;
    for (let count = 0; count < MAX_DISPATCHES; count += 1) {
      if (context.signal.aborted) return err(this.cancellationError(context, run.transcript));
      const dispatched = await this.dispatch(run);
      const attempt = dispatched.isOk()
        ? await this.relayDispatch(run, dispatched.value, sink)
        : err(dispatched.error);
      if (attempt.isOk()) return ok(run.transcript);
      const { failure, mayRetry } = attempt.error;
      lastFailure = worseOf(lastFailure, failure);
      if (!mayRetry) return err(lastFailure);
    }
    return err(
      lastFailure ?? new CoordinationError('backend-failed', 'unknown', 'no engine completed the generation'),
    );
  }

  /** Selects an engine and opens a stream that continues the transcript. */
  private async dispatch(run: Run): Promise<Result<Dispatch, DispatchFailure>> {
    const { context, request, transcript } = run;
    const open = this.gate.check(request.service);
    if (open.isErr()) return err({ mayRetry: false, failure: open.error });
    const resume = readResume(transcript);
    if (resume.isErr()) return err({ mayRetry: false, failure: resume.error });
    const minVersion = request.minVersion?.();
    const route = this.choose(run, minVersion);
    if (route.isErr()) return err({ mayRetry: false, failure: route.error });
    const { backend, release } = route.value;
    const body = engineRequest(context, request, resume.value, minVersion);
    const started = await this.engines.generate(backend.declaration.spec.address, body, context.signal);
    if (started.isErr()) {
      release();
      return err(this.recordDispatchFailure(run, backend, started.error));
    }
    transcript.beginPart(backend.name);
    return ok({ stream: started.value, backend, release });
  }

  private choose({ context, request, excluded }: Run, minVersion: number | undefined) {
    const route = this.router.choose({ ...routeQuery(request, excluded), minVersion });
    const subjects = subjectsOf(context, request);
    if (route.isErr()) {
      const { reason, inputs } = route.error;
      this.decisions.record({ kind: 'refuse', subjects, choice: 'none', reason, inputs });
      return err(rejection(reason, describeRejected(inputs)));
    }
    const { backend, inputs } = route.value;
    this.decisions.record({
      kind: 'route',
      subjects,
      choice: backend.name,
      reason: 'two-random-choices',
      inputs,
    });
    return ok(route.value);
  }

  private async relayDispatch(
    run: Run,
    { stream, backend, release }: Dispatch,
    sink: EventSink,
  ): Promise<Result<void, DispatchFailure>> {
    const { context, request, transcript } = run;
    const end = await this.relayEvents(stream, transcript, sink).finally(release);
    if (end === 'complete') {
      backend.recordSuccess();
      this.metrics.attempts.inc({ service: request.service.metadata.name, outcome: 'complete' });
      return ok(undefined);
    }
    if (end === 'receiver-gone' || context.signal.aborted) {
      return err({ mayRetry: false, failure: this.cancellationError(context, transcript) });
    }
    this.recordCut(run, backend);
    const message = `${backend.name}: stream interrupted`;
    const failure = new CoordinationError('backend-failed', 'unknown', message, AT_CAPACITY_RETRY_MS);
    return err({ mayRetry: true, failure });
  }

  private recordDispatchFailure(run: Run, backend: BackendEntry, error: ProtocolError): DispatchFailure {
    const { context, request, excluded } = run;
    this.metrics.attempts.inc({ service: request.service.metadata.name, outcome: error.failure });
    if (context.signal.aborted) return { mayRetry: false, failure: this.cancellationError(context) };
    if (error.failure !== 'refused') backend.recordFailure(error.message);
    excluded.add(backend.name);
    this.decisions.record({
      kind: 'retry',
      subjects: subjectsOf(context, request),
      choice: 'another engine',
      reason: error.failure,
      inputs: { note: `${backend.name}: ${error.message}` },
    });
    return { mayRetry: true, failure: fromBackend(error) };
  }

  private async relayEvents(
    stream: EngineStream,
    transcript: EventTranscript,
    sink: EventSink,
  ): Promise<StreamEnd> {
    const { body } = stream.response;
    try {
      for await (const chunk of body) {
        const whole = transcript.append(chunk as Buffer);
        if (whole.length > 0 && !(await sink(whole))) {
          abandonBody(body);
          return 'receiver-gone';
        }
      }
    } catch (cause) {
      return toTransportError(cause).failure === 'cancelled' ? 'receiver-gone' : 'cut';
    }
    return transcript.isComplete ? 'complete' : 'cut';
  }

  private recordCut({ context, request, transcript, excluded }: Run, backend: BackendEntry): void {
    backend.recordFailure('stream interrupted');
    excluded.add(backend.name);
    this.metrics.attempts.inc({ service: request.service.metadata.name, outcome: 'cut' });
    if (!transcript.isEmpty) this.metrics.resumes.inc();
    this.decisions.record({
      kind: 'resume',
      subjects: subjectsOf(context, request),
      choice: 'another engine',
      reason: 'stream-cut',
      inputs: { note: `${backend.name} closed the stream without an end-of-stream event` },
    });
  }

  /** The error for a disconnected caller or a passed deadline. */
  private cancellationError(context: RequestContext, transcript?: EventTranscript): CoordinationError {
    const executed = transcript && !transcript.isEmpty ? 'yes' : 'unknown';
    if (isPastDeadline(context))
      return new CoordinationError('deadline-passed', executed, 'request deadline passed');
    return new CoordinationError('outcome-unknown', executed, 'caller disconnected');
  }
}

function subjectsOf(context: RequestContext, request: GenerationRequest): string[] {
  return [context.requestId, ...request.subjects];
}

function routeQuery(request: GenerationRequest, excluded: ReadonlySet<string>): RouteQuery {
  const { service, model, residency, preferNewest } = request;
  return { service, model, residency, preferNewest, excluded };
}

function describeRejected(inputs: { rejected?: readonly { backend: string; reason: string }[] }): string {
  const reasons = (inputs.rejected ?? []).map((one) => `${one.backend}: ${one.reason}`);
  return reasons.length === 0 ? 'service has no back ends' : `no eligible back end (${reasons.join(', ')})`;
}

function engineRequest(
  context: RequestContext,
  request: GenerationRequest,
  resume: EngineRequest['resume'],
  minVersion: number | undefined,
): EngineRequest {
  return {
    request_id: context.requestId,
    model: request.model,
    prompt: request.prompt,
    max_tokens: request.maxTokens,
    priority: request.priority,
    seed: request.seed,
    ...(request.eventTokens !== undefined ? { event_tokens: request.eventTokens } : {}),
    ...(resume ? { resume } : {}),
    ...(minVersion !== undefined ? { min_version: minVersion } : {}),
  };
}

/** The text to resume from; `undefined` if no event was received. */
function readResume(transcript: EventTranscript) {
  if (transcript.isEmpty) return ok(undefined);
  return transcript
    .read()
    .map((read) => ({ text: read.text, tokens: read.tokens }))
    .mapErr((message) => new CoordinationError('backend-failed', 'unknown', message));
}
