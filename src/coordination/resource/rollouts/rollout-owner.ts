/**
 * Schedules the generation of samples for one shard of a trainer: slots of open rollouts without a committed
 * sample, and slots whose sample expired. The schedule is rebuilt from the ledger, so another node can take
 * over the shard. Samples in progress are dropped when the lease is lost.
 */
import { sleep } from '../../../common/clock.js';
import type { ResourceOf } from '../../../protocol/resource/resource.js';
import type { HeldLease } from '../../../state/resource/leases/index.js';
import type {
  LoadedRollout,
  RolloutLedger,
  SampleCommits,
  SlotTask,
} from '../../../state/resource/samples/index.js';
import type { RunnableTask, TaskSignals } from '../singleton-tasks/index.js';
import { SampleCommitter } from './sample-committer.js';
import { SampleProducer, type SampleProducerParts } from './sample-producer.js';

export interface RolloutOwnerParts extends SampleProducerParts {
  readonly ledger: RolloutLedger;
  readonly commits: SampleCommits;
}

const SCAN_INTERVAL_MS = 300;
/** Samples generated concurrently per shard if the trainer declares no limit. */
const DEFAULT_CONCURRENCY = 128;
/** Initial delay after a failed attempt, doubled up to the maximum. */
const RETRY_DELAY_MS = 200;
const MAX_RETRY_DELAY_MS = 3_000;

interface ActiveRollout {
  readonly loaded: LoadedRollout;
  /** Slots to generate, in order. */
  waiting: SlotTask[];
  running: number;
  readonly stop: AbortController;
}

export class RolloutOwner implements RunnableTask {
  private readonly active = new Map<string, ActiveRollout>();
  private readonly inProgress = new Set<string>();
  private readonly producer: SampleProducer;
  /** Aborted when a commit is rejected because the lease was lost. */
  private readonly leaseRejected = new AbortController();
  private readonly leaseLost: AbortSignal;
  private readonly running = new Set<Promise<void>>();
  private wakeUp = new AbortController();

  constructor(
    private readonly parts: RolloutOwnerParts,
    private readonly trainerName: string,
    private readonly shard: number,
    private readonly lease: HeldLease,
    private readonly signals: TaskSignals,
  ) {
    this.leaseLost = AbortSignal.any([signals.lost, this.leaseRejected.signal]);
    const committer = new SampleCommitter(parts.commits, trainerName, lease, this.leaseLost);
    this.producer = new SampleProducer(parts, trainerName, shard, lease, committer);
  }

  /** Runs until stopped or until the trainer is deleted, then waits for the samples in progress. */
  async run(): Promise<void> {
    const ended = AbortSignal.any([this.signals.stop, this.leaseLost]);
    while (!ended.aborted && this.trainer()) {
      this.wakeUp = new AbortController();
      await this.scanLedger(ended);
      this.startTasks(ended);
      await sleep(SCAN_INTERVAL_MS, AbortSignal.any([ended, this.wakeUp.signal]));
    }
    if (!this.trainer()) for (const rollout of this.active.values()) rollout.stop.abort();
    await Promise.all(this.running);
  }

  isIdle(): boolean {
    return (
      this.inProgress.size === 0 && [...this.active.values()].every((rollout) => rollout.waiting.length === 0)
    );
  }

  private trainer(): ResourceOf<'Trainer'> | undefined {
    return this.parts.view.get('Trainer', this.trainerName);
  }

  /** Reads open rollouts and expired samples from the ledger; failed reads are retried by the next scan. */
  private async scanLedger(ended: AbortSignal): Promise<void> {
    const { ledger } = this.parts;
    const open = await ledger.openRollouts(this.trainerName, this.shard);
    if (open.isErr()) return;
    await this.stopCancelled(new Set(open.value));
    for (const rolloutId of open.value) {
      if (ended.aborted) return;
      if (!this.active.has(rolloutId)) await this.activate(rolloutId);
    }
    const expired = await ledger.regenerations(this.trainerName, this.shard);
    if (expired.isErr()) return;
    for (const task of expired.value) await this.queueExpired(task);
  }

  private async activate(rolloutId: string): Promise<ActiveRollout | undefined> {
    const loaded = await this.parts.ledger.load(this.trainerName, rolloutId);
    if (loaded.isErr() || !loaded.value || loaded.value.row.state !== 'open') return undefined;
    const free = await this.parts.ledger.freeSlots(this.trainerName, loaded.value, this.shard);
    if (free.isErr()) return undefined;
    const rollout = { loaded: loaded.value, waiting: free.value, running: 0, stop: new AbortController() };
    this.active.set(rolloutId, rollout);
    return rollout;
  }

  private async queueExpired(task: SlotTask): Promise<void> {
    if (this.inProgress.has(taskKey(task))) return;
    const rollout = this.active.get(task.rolloutId) ?? (await this.activate(task.rolloutId));
    if (!rollout || rollout.waiting.some((one) => taskKey(one) === taskKey(task))) return;
    rollout.waiting.unshift(task);
  }

  /** Removes completed rollouts and stops cancelled ones, which are closed with slots left to generate. */
  private async stopCancelled(open: ReadonlySet<string>): Promise<void> {
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
      AbortSignal.any([this.leaseLost, rollout.stop.signal]),
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

  /** Retries a slot until it is settled or `signal` aborts; starts no retry after `ended`. */
  private async runTask(
    rollout: ActiveRollout,
    task: SlotTask,
    signal: AbortSignal,
    ended: AbortSignal,
  ): Promise<void> {
    let delayMs = RETRY_DELAY_MS;
    while (!signal.aborted) {
      const outcome = await this.producer.produce(rollout.loaded, task, signal);
      if (outcome === 'lease-lost') this.leaseRejected.abort();
      if (outcome !== 'retry' || ended.aborted) return;
      await sleep(delayMs, AbortSignal.any([signal, ended]));
      delayMs = Math.min(2 * delayMs, MAX_RETRY_DELAY_MS);
    }
  }
}

function taskKey(task: SlotTask): string {
  return `${task.rolloutId}/${task.slot}`;
}
