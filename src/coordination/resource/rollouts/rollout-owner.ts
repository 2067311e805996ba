/**
 * The owner of a trainer's shard generates the shard's samples: slots of open rollouts that nobody has won, and
 * slots whose sample expired. Whatever it knows it has read from the ledger, so another node goes on where it
 * stopped.
 */
import { monotonicMs, sleep } from '../../../common/clock.js';
import { newRequestId, sha256Hex } from '../../../common/identifier.js';
import type { LifecycleObserver } from '../../../common/lifecycle.js';
import type { ResourceOf } from '../../../protocol/resource/resource.js';
import type { Sample } from '../../../protocol/resource/trainer.js';
import type { ConfigView } from '../../../state/resource/configuration/index.js';
import type { DecisionLog } from '../../../state/resource/decision-log.js';
import type { HeldLease } from '../../../state/resource/leases/index.js';
import type { LoadedRollout, RolloutLedger, SlotTask } from '../../../state/resource/samples/index.js';
import { formatSampleId, isWithinBound, oldestVersion } from '../../../state/resource/samples/index.js';
import type { RequestContext } from '../requests/index.js';
import type { RunnableTask, TaskSignals } from '../singleton-tasks/index.js';
import { newestPublished } from '../weights/index.js';
import type { GeneratedText } from './event-transcript.js';
import type { Generator } from './generation.js';
import { SampleCommitter } from './sample-committer.js';

/** What an owner needs. */
export interface RolloutOwnerParts {
  readonly nodeId: string;
  readonly view: ConfigView;
  readonly ledger: RolloutLedger;
  readonly generator: Generator;
  readonly decisions: DecisionLog;
  readonly observer: LifecycleObserver;
}

const SCAN_INTERVAL_MS = 300;
const DEFAULT_CONCURRENCY = 128;
const SAMPLE_DEADLINE_MS = 30 * 60 * 1_000;
const RETRY_DELAY_MS = 200;
const MAX_RETRY_DELAY_MS = 3_000;
const SAMPLE_PRIORITY = 3;
/** Nobody reads a sample while it is generated, so its events may be large. */
const SAMPLE_EVENT_TOKENS = 64;
const SEED_DIGITS = 7;

/** An open rollout as its owner works on it. */
interface ActiveRollout {
  readonly loaded: LoadedRollout;
  /** Slots of the shard that nobody has won yet, in order. */
  waiting: SlotTask[];
  running: number;
  readonly stop: AbortController;
}

/** The owner of one shard. */
export class RolloutOwner implements RunnableTask {
  private readonly active = new Map<string, ActiveRollout>();
  private readonly inProgress = new Set<string>();
  private readonly committer: SampleCommitter;
  /** Aborted when a commit finds the lease lost. */
  private readonly superseded = new AbortController();
  private readonly lost: AbortSignal;
  private readonly running = new Set<Promise<void>>();
  private wakeUp = new AbortController();

  constructor(
    private readonly parts: RolloutOwnerParts,
    private readonly trainerName: string,
    private readonly shard: number,
    private readonly lease: HeldLease,
    private readonly signals: TaskSignals,
  ) {
    this.lost = AbortSignal.any([signals.lost, this.superseded.signal]);
    this.committer = new SampleCommitter(parts.ledger, trainerName, lease, this.lost);
  }

  /** Works until told to end or the trainer is gone; then waits for the samples in progress. */
  async run(): Promise<void> {
    const ended = AbortSignal.any([this.signals.stop, this.lost]);
    while (!ended.aborted && this.trainer()) {
      this.wakeUp = new AbortController();
      await this.refresh(ended);
      this.startTasks(ended);
      await sleep(SCAN_INTERVAL_MS, AbortSignal.any([ended, this.wakeUp.signal]));
    }
    if (!this.trainer()) for (const rollout of this.active.values()) rollout.stop.abort();
    await Promise.all(this.running);
  }

  /** Whether no slot is waiting or in progress. */
  isIdle(): boolean {
    return (
      this.inProgress.size === 0 && [...this.active.values()].every((rollout) => rollout.waiting.length === 0)
    );
  }

  private trainer(): ResourceOf<'Trainer'> | undefined {
    return this.parts.view.get('Trainer', this.trainerName);
  }

  /** Reads from the ledger what is to be done. */
  private async refresh(ended: AbortSignal): Promise<void> {
    const { ledger } = this.parts;
    const open = await ledger.openRollouts(this.trainerName, this.shard);
    if (open.isErr()) return;
    await this.dropCancelled(new Set(open.value));
    for (const rolloutId of open.value) {
      if (ended.aborted) return;
      if (!this.active.has(rolloutId)) await this.adopt(rolloutId);
    }
    const expired = await ledger.regenerations(this.trainerName, this.shard);
    if (expired.isErr()) return;
    for (const task of expired.value) await this.adoptExpired(task);
  }

  private async adopt(rolloutId: string): Promise<ActiveRollout | undefined> {
    const loaded = await this.parts.ledger.load(this.trainerName, rolloutId);
    if (loaded.isErr() || !loaded.value || loaded.value.row.state !== 'open') return undefined;
    const free = await this.parts.ledger.freeSlots(this.trainerName, loaded.value, this.shard);
    if (free.isErr()) return undefined;
    const rollout = { loaded: loaded.value, waiting: free.value, running: 0, stop: new AbortController() };
    this.active.set(rolloutId, rollout);
    return rollout;
  }

  private async adoptExpired(task: SlotTask): Promise<void> {
    if (this.inProgress.has(taskKey(task))) return;
    const rollout = this.active.get(task.rolloutId) ?? (await this.adopt(task.rolloutId));
    if (!rollout || rollout.waiting.some((one) => taskKey(one) === taskKey(task))) return;
    rollout.waiting.unshift(task);
  }

  /** Stops work on rollouts that are no longer open although slots of theirs are not won: they were cancelled. */
  private async dropCancelled(open: ReadonlySet<string>): Promise<void> {
    for (const [rolloutId, rollout] of this.active) {
      if (open.has(rolloutId)) continue;
      if (rollout.waiting.length === 0 && rollout.running === 0) this.active.delete(rolloutId);
      else if ((await this.parts.ledger.isCancelled(this.trainerName, rolloutId)).unwrapOr(false)) {
        rollout.stop.abort();
        this.active.delete(rolloutId);
      }
    }
  }

  private startTasks(ended: AbortSignal): void {
    if (ended.aborted) return;
    const limit = this.trainer()?.spec.concurrency ?? DEFAULT_CONCURRENCY;
    for (const rollout of this.active.values()) {
      while (this.inProgress.size < limit && rollout.waiting.length > 0) {
        this.startTask(rollout, rollout.waiting.shift() as SlotTask, ended);
      }
    }
  }

  private startTask(rollout: ActiveRollout, task: SlotTask, ended: AbortSignal): void {
    const key = taskKey(task);
    this.inProgress.add(key);
    rollout.running += 1;
    const running = this.runTask(
      rollout,
      task,
      AbortSignal.any([this.lost, rollout.stop.signal]),
      ended,
    ).finally(async () => {
      this.inProgress.delete(key);
      rollout.running -= 1;
      this.startTasks(ended);
      await this.closeWhenDone(rollout, ended);
      this.running.delete(running);
    });
    this.running.add(running);
  }

  private async closeWhenDone(rollout: ActiveRollout, signal: AbortSignal): Promise<void> {
    if (rollout.waiting.length > 0 || rollout.running > 0 || signal.aborted) return;
    await this.parts.ledger.closeShard(this.trainerName, this.shard, rollout.loaded.rolloutId, this.lease);
    this.wakeUp.abort();
  }

  /** Generates a slot's sample until one wins or the work is called off. A failed try is not repeated once `ended`. */
  private async runTask(
    rollout: ActiveRollout,
    task: SlotTask,
    signal: AbortSignal,
    ended: AbortSignal,
  ): Promise<void> {
    let delayMs = RETRY_DELAY_MS;
    while (!signal.aborted) {
      const isSettled = await this.tryOnce(rollout, task, signal);
      if (isSettled || ended.aborted) return;
      await sleep(delayMs, AbortSignal.any([signal, ended]));
      delayMs = Math.min(2 * delayMs, MAX_RETRY_DELAY_MS);
    }
  }

  /** One generation. False when the slot has to be tried again. */
  private async tryOnce(rollout: ActiveRollout, task: SlotTask, signal: AbortSignal): Promise<boolean> {
    const trainer = this.trainer();
    const model = trainer && this.parts.view.get('Model', rollout.loaded.row.model);
    const service = model && this.parts.view.get('Service', model.spec.service);
    if (!trainer || !model || !service) return false;
    const context = this.contextOf(signal);
    const sampleId = formatSampleId({ trainer: this.trainerName, ...task });
    const minVersion = () =>
      Math.max(0, newestPublished(this.parts.view, model.metadata.name) - trainer.spec.stalenessBound);
    const generated = await this.parts.generator.generate(
      context,
      {
        service,
        model: model.metadata.name,
        prompt: promptOf(rollout.loaded, task),
        maxTokens: rollout.loaded.row.maxTokens,
        seed: seedOf(rollout.loaded, task),
        priority: SAMPLE_PRIORITY,
        eventTokens: SAMPLE_EVENT_TOKENS,
        minVersion,
        residency: intersect(trainer.spec.residency, model.spec.residency),
        preferNewest: trainer.spec.preference === 'staleness',
        subjects: [sampleId],
      },
      async () => true,
    );
    if (generated.isErr()) return false;
    const text = generated.value.read();
    if (text.isErr() || text.value.segments.length === 0) return false;
    if (!this.isFresh(text.value, trainer, model.metadata.name, context, sampleId)) return false;
    return this.commit(rollout, task, sampleId, text.value, context);
  }

  private async commit(
    rollout: ActiveRollout,
    task: SlotTask,
    sampleId: string,
    text: GeneratedText,
    context: RequestContext,
  ): Promise<boolean> {
    const { row, rowVersion, rolloutId } = rollout.loaded;
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
    if (outcome === 'lease-lost') this.superseded.abort();
    return true;
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

  private contextOf(signal: AbortSignal): RequestContext {
    return {
      requestId: newRequestId(this.parts.nodeId),
      principal: { identity: `trainer/${this.trainerName}`, roles: ['trainer'], trainer: this.trainerName },
      signal: AbortSignal.any([signal, AbortSignal.timeout(SAMPLE_DEADLINE_MS)]),
      deadlineMs: monotonicMs() + SAMPLE_DEADLINE_MS,
    };
  }
}

function taskKey(task: SlotTask): string {
  return `${task.rolloutId}/${task.slot}`;
}

function promptOf(rollout: LoadedRollout, task: SlotTask): string {
  return rollout.prompts[Math.floor(task.slot / rollout.row.samplesPerPrompt)] ?? '';
}

/** A seed of its own for each slot and generation, the same whichever node generates it. */
function seedOf(rollout: LoadedRollout, task: SlotTask): number {
  const text = `${rollout.row.seed}/${rollout.rolloutId}/${task.slot}/${task.generation}`;
  return Number.parseInt(sha256Hex(text).slice(0, SEED_DIGITS), 16);
}

/** Zones that both lists allow. */
function intersect(
  a: readonly string[] | undefined,
  b: readonly string[] | undefined,
): readonly string[] | undefined {
  if (!a?.length) return b;
  if (!b?.length) return a;
  const both = a.filter((zone) => b.includes(zone));
  return both.length > 0 ? both : ['(no zone)'];
}
