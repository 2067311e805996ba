/**
 * Which node does what. Each duty (owner of a trainer's shard, owner of a slice of a model's engines, watcher of
 * the machine list) is a lease that any node may hold. The nodes first in line for a duty, by rendezvous weight
 * among the active members, try to take it; whoever holds it runs its task until the lease is lost.
 */
import { sleep } from '../../../common/clock.js';
import { Lifecycle, type LifecycleObserver } from '../../../common/lifecycle.js';
import { rankByRendezvous } from '../../../state/resource/backends/index.js';
import type { ConfigView } from '../../../state/resource/configuration/index.js';
import type { DecisionLog } from '../../../state/resource/decision-log.js';
import type { HeldLease, LeaseStore } from '../../../state/resource/leases/index.js';
import type { NodeRegistry } from '../membership/index.js';

/** What tells a duty's task to end. */
export interface TaskSignals {
  /** Start nothing new, finish what is in progress, then end. */
  readonly stop: AbortSignal;
  /** The lease has another holder: drop everything. */
  readonly lost: AbortSignal;
}

/** A duty's task while it runs. */
export interface RunnableTask {
  /** Works until it is told to end. */
  run(): Promise<void>;
  /** Whether nothing is in progress that a change of holder would hold up. */
  isIdle(): boolean;
}

/** A duty. */
export interface SingletonTask {
  /** Name of the lease. */
  readonly name: string;
  readonly createTask: (lease: HeldLease, signals: TaskSignals) => RunnableTask;
}

/** Nodes in line for a duty that try to take it. */
const CANDIDATES = 3;
const RENEWALS_PER_LEASE = 4;
/** Rounds without a change of members or configuration after which duties move to the node that is first in line. */
const ROUNDS_UNTIL_HANDOVER = 3;
/** Tries of a node that is not first in line, one in so many rounds. */
const SECONDARY_ROUNDS = 2;

type LeaseState = 'free' | 'held';
type LeaseEvent = 'acquired' | 'lost';
const LEASE_TABLE = { free: { acquired: 'held' }, held: { lost: 'free' } } as const;

interface Candidacy {
  readonly task: SingletonTask;
  /** Place in line, 0 for the first. */
  readonly rank: number;
}

interface RunningTask {
  readonly lease: HeldLease;
  readonly task: RunnableTask;
  readonly stop: AbortController;
  readonly lost: AbortController;
  readonly done: Promise<void>;
}

/** The duties of one node. */
export class SingletonTasks {
  private readonly running = new Map<string, RunningTask>();
  private readonly lifecycles = new Map<string, Lifecycle<LeaseState, LeaseEvent>>();
  private candidacies: readonly Candidacy[] = [];
  private candidacyKey = '';
  private candidacySinceRound = 0;
  private round = 0;
  private hasSession = false;

  /** `listDuties` gives the duties that the configuration asks for. */
  constructor(
    private readonly leases: LeaseStore,
    private readonly registry: NodeRegistry,
    private readonly view: ConfigView,
    private readonly decisions: DecisionLog,
    private readonly observer: LifecycleObserver,
    private readonly listTasks: () => readonly SingletonTask[],
  ) {}

  /** Renews, acquires and runs until stopped; then lets the tasks finish and releases the leases. */
  async run(signal: AbortSignal): Promise<void> {
    const intervalMs = this.leases.leaseMs / RENEWALS_PER_LEASE;
    while (!signal.aborted) {
      await this.runRound(signal);
      await sleep(intervalMs, signal);
    }
    const released = new AbortController();
    const releasing = this.releaseAll().finally(() => released.abort());
    // The tasks commit under their leases until the last one has ended.
    while (!released.signal.aborted) {
      await this.renewSession();
      await sleep(intervalMs, released.signal);
    }
    await releasing;
  }

  /** Names of the duties that this node does now. */
  names(): string[] {
    return [...this.running.keys()];
  }

  private async runRound(signal: AbortSignal): Promise<void> {
    this.round += 1;
    this.refreshCandidacies();
    const isCandidate = this.candidacies.length > 0 || this.running.size > 0;
    if (!isCandidate && !this.hasSession) return;
    this.hasSession = isCandidate;
    await this.renewSession();
    for (const { task, rank } of this.candidacies) {
      if (signal.aborted || !this.leases.isValid) return;
      if (this.running.has(task.name)) continue;
      if (rank > 0 && this.round % SECONDARY_ROUNDS !== 0) continue;
      const acquired = await this.leases.tryAcquire(task.name);
      if (acquired.isOk() && acquired.value) this.start(task, acquired.value);
    }
    this.handOver();
  }

  /**
   * Gives back idle duties for which another node is first in line, once the members have been the same for a while.
   * Without this a node that started first, or took over for a restarted one, would keep them for ever.
   */
  private handOver(): void {
    if (this.round - this.candidacySinceRound < ROUNDS_UNTIL_HANDOVER) return;
    const ranks = new Map(this.candidacies.map((one) => [one.task.name, one.rank]));
    for (const [name, { task, stop }] of this.running) {
      if (ranks.get(name) === 0 || stop.signal.aborted || !task.isIdle()) continue;
      void this.stopAndRelease(name);
    }
  }

  private async renewSession(): Promise<void> {
    const renewed = await this.leases.renew();
    if (renewed.isErr() && renewed.error.failure === 'conflict') await this.leases.renew();
    for (const [name, task] of this.running) {
      if (this.leases.get(name)?.epoch !== task.lease.epoch) task.lost.abort();
    }
  }

  /** Works out the duties that this node is in line for, when members or configuration have changed. */
  private refreshCandidacies(): void {
    const memberIds = this.registry.active().map((member) => member.id);
    const key = `${this.view.revision}|${memberIds.join(',')}`;
    if (key === this.candidacyKey) return;
    this.candidacyKey = key;
    this.candidacySinceRound = this.round;
    const ownId = this.registry.own.id;
    const tasks = this.listTasks();
    this.candidacies = tasks
      .map((task) => ({ task, rank: rankByRendezvous(task.name, memberIds).indexOf(ownId) }))
      .filter((one) => one.rank >= 0 && one.rank < CANDIDATES);
    const wanted = new Set(tasks.map((task) => task.name));
    for (const name of this.running.keys()) if (!wanted.has(name)) void this.stopAndRelease(name);
  }

  private start(task: SingletonTask, lease: HeldLease): void {
    const stop = new AbortController();
    const lost = new AbortController();
    this.lifecycle(task.name).send('acquired', `epoch ${lease.epoch}`);
    this.decisions.record({
      kind: 'lease',
      subjects: [`lease/${task.name}`],
      choice: 'acquired',
      reason: 'in-line',
      inputs: { note: `epoch ${lease.epoch}` },
    });
    const running = task.createTask(lease, { stop: stop.signal, lost: lost.signal });
    const done = running.run().then(
      () => this.noteEnded(task.name, 'task ended'),
      (cause: unknown) => this.noteEnded(task.name, `task failed: ${String(cause)}`),
    );
    this.running.set(task.name, { lease, task: running, stop, lost, done });
  }

  private noteEnded(name: string, reason: string): void {
    this.running.delete(name);
    this.leases.forget(name);
    this.lifecycle(name).send('lost', reason);
  }

  /** Ends a task; the lease is given back after the task's last commit. */
  private async stopAndRelease(name: string): Promise<void> {
    const running = this.running.get(name);
    if (!running) return;
    running.stop.abort();
    await running.done;
    await this.leases.release(running.lease);
  }

  private async releaseAll(): Promise<void> {
    await Promise.all([...this.running.keys()].map((name) => this.stopAndRelease(name)));
  }

  private lifecycle(name: string): Lifecycle<LeaseState, LeaseEvent> {
    const known = this.lifecycles.get(name);
    if (known) return known;
    const created = new Lifecycle<LeaseState, LeaseEvent>('lease', name, 'free', LEASE_TABLE, this.observer);
    this.lifecycles.set(name, created);
    return created;
  }
}
