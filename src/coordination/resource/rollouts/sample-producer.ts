/**
 * Produces the sample of one slot: generates its text, checks the staleness bound and commits it under the
 * lease of the shard. An attempt keeps no state, so it can be retried on any node.
 */
import { monotonicMs } from '../../../common/clock.js';
import { newRequestId, sha256Hex } from '../../../common/identifier.js';
import type { LifecycleObserver } from '../../../common/lifecycle.js';
import type { ResourceOf } from '../../../protocol/resource/resource.js';
import type { Sample } from '../../../protocol/resource/trainer.js';
import type { ConfigView } from '../../../state/resource/configuration/index.js';
import type { DecisionLog } from '../../../state/resource/decision-log.js';
import type { HeldLease } from '../../../state/resource/leases/index.js';
import type { LoadedRollout, SlotTask } from '../../../state/resource/samples/index.js';
import { formatSampleId, isWithinBound, oldestVersion } from '../../../state/resource/samples/index.js';
import type { RequestContext } from '../requests/index.js';
import { newestPublished } from '../weights/index.js';
import type { GeneratedText } from './event-transcript.js';
import type { GenerationRequest, Generator } from './generation.js';
import type { SampleCommitter } from './sample-committer.js';

export interface SampleProducerParts {
  readonly nodeId: string;
  readonly view: ConfigView;
  readonly generator: Generator;
  readonly decisions: DecisionLog;
  readonly observer: LifecycleObserver;
}

/** `settled`: the slot needs no further attempt. `retry`: the attempt produced no sample. */
export type ProductionOutcome = 'settled' | 'retry' | 'lease-lost';

/** Ends a generation that hangs. */
const SAMPLE_DEADLINE_MS = 30 * 60 * 1_000;
/** Engine priority, 0 to 9; below the default of interactive requests, 5. */
const SAMPLE_PRIORITY = 3;
/** Minimum tokens per event; samples are not read while they are generated, so large events are cheaper. */
const SAMPLE_EVENT_TOKENS = 64;
/** Hexadecimal digits of a seed; 28 bits fit a signed 32-bit integer. */
const SEED_DIGITS = 7;

export class SampleProducer {
  constructor(
    private readonly parts: SampleProducerParts,
    private readonly trainerName: string,
    private readonly shard: number,
    private readonly lease: HeldLease,
    private readonly committer: SampleCommitter,
  ) {}

  /** Makes one attempt. Aborting `signal` cancels the generation and returns `retry`. */
  async produce(rollout: LoadedRollout, task: SlotTask, signal: AbortSignal): Promise<ProductionOutcome> {
    const trainer = this.parts.view.get('Trainer', this.trainerName);
    const model = trainer && this.parts.view.get('Model', rollout.row.model);
    const service = model && this.parts.view.get('Service', model.spec.service);
    if (!trainer || !model || !service) return 'retry';
    const context = this.createContext(signal);
    const sampleId = formatSampleId({ trainer: this.trainerName, ...task });
    const request: GenerationRequest = {
      service,
      model: model.metadata.name,
      prompt: promptOf(rollout, task),
      maxTokens: rollout.row.maxTokens,
      seed: seedOf(rollout, task),
      priority: SAMPLE_PRIORITY,
      eventTokens: SAMPLE_EVENT_TOKENS,
      minVersion: () =>
        Math.max(0, newestPublished(this.parts.view, model.metadata.name) - trainer.spec.stalenessBound),
      residency: intersectZones(trainer.spec.residency, model.spec.residency),
      preferNewest: trainer.spec.preference === 'staleness',
      subjects: [sampleId],
    };
    const text = await this.generate(context, request);
    if (text === undefined) return 'retry';
    if (!this.isFresh(text, trainer, model.metadata.name, context, sampleId)) return 'retry';
    return this.commit(rollout, task, sampleId, text, context);
  }

  /** Returns `undefined` if the generation failed, which the decision log records, or produced no tokens. */
  private async generate(
    context: RequestContext,
    request: GenerationRequest,
  ): Promise<GeneratedText | undefined> {
    const generated = await this.parts.generator.generate(context, request, async () => true);
    if (generated.isErr()) return undefined;
    const text = generated.value.read();
    return text.isOk() && text.value.segments.length > 0 ? text.value : undefined;
  }

  private async commit(
    rollout: LoadedRollout,
    task: SlotTask,
    sampleId: string,
    text: GeneratedText,
    context: RequestContext,
  ): Promise<ProductionOutcome> {
    const { row, rowVersion, rolloutId } = rollout;
    const sample: Sample = {
      sampleId,
      rolloutId,
      model: row.model,
      promptIndex: Math.floor(task.slot / row.samplesPerPrompt),
      sampleIndex: task.slot % row.samplesPerPrompt,
      text: text.text,
      segments: text.segments,
      finishReason: text.finishReason,
    };
    const decision = {
      requestId: context.requestId,
      node: this.parts.nodeId,
      epoch: this.lease.epoch,
      configRevision: this.parts.view.revision,
      reason: text.segments.length > 1 ? 'several-segments' : 'one-segment',
      engines: [...new Set(text.segments.map((segment) => segment.engine))],
    };
    const outcome = await this.committer.commit({
      task,
      shard: this.shard,
      rolloutVersion: rowVersion,
      sample,
      decision,
    });
    this.parts.observer.metrics.samples.inc({ trainer: this.trainerName, outcome });
    return outcome === 'lease-lost' ? 'lease-lost' : 'settled';
  }

  private isFresh(
    text: GeneratedText,
    trainer: ResourceOf<'Trainer'>,
    model: string,
    context: RequestContext,
    sampleId: string,
  ): boolean {
    const oldest = oldestVersion(text.segments);
    const newest = newestPublished(this.parts.view, model);
    const bound = trainer.spec.stalenessBound;
    if (isWithinBound(oldest, newest, bound)) return true;
    this.parts.observer.metrics.samples.inc({ trainer: this.trainerName, outcome: 'too-old' });
    this.parts.decisions.record({
      kind: 'discard',
      subjects: [context.requestId, sampleId],
      choice: 'generate again',
      reason: 'too-old',
      inputs: { staleness: { oldest, newest, bound } },
    });
    return false;
  }

  private createContext(signal: AbortSignal): RequestContext {
    return {
      requestId: newRequestId(this.parts.nodeId),
      principal: { identity: `trainer/${this.trainerName}`, roles: ['trainer'], trainer: this.trainerName },
      signal: AbortSignal.any([signal, AbortSignal.timeout(SAMPLE_DEADLINE_MS)]),
      deadlineMs: monotonicMs() + SAMPLE_DEADLINE_MS,
    };
  }
}

function promptOf(rollout: LoadedRollout, task: SlotTask): string {
  return rollout.prompts[Math.floor(task.slot / rollout.row.samplesPerPrompt)] ?? '';
}

/** Derives the seed of a slot; the same on every node. */
function seedOf(rollout: LoadedRollout, task: SlotTask): number {
  const text = `${rollout.row.seed}/${rollout.rolloutId}/${task.slot}/${task.generation}`;
  return Number.parseInt(sha256Hex(text).slice(0, SEED_DIGITS), 16);
}

/** Zones allowed by both lists; an empty or missing list allows every zone. */
function intersectZones(
  a: readonly string[] | undefined,
  b: readonly string[] | undefined,
): readonly string[] | undefined {
  if (!a?.length) return b;
  if (!b?.length) return a;
  const both = a.filter((zone) => b.includes(zone));
  return both.length > 0 ? both : ['(no zone)'];
}
