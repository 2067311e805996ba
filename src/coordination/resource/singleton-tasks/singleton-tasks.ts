/**
 * Singleton tasks: which node runs what one node runs for all (owner of a trainer's shard, owner of a slice
 * of a model's engines, watcher of the machine list). Each task has a lease. The first `CANDIDATES` active
 * members in rendezvous order try to acquire it; the holder runs the task until the lease is lost.
 *
 * Owns: this node's session and the running tasks. Relies on: `LeaseStore`, `NodeRegistry` (members), the
 * configuration. While the store is not reachable nobody can acquire a lease, so tasks go on; their writes
 * are conditional on the epoch.
 */
import { sleep } from '../../../common/clock.js';
import { Lifecycle, type LifecycleObserver } from '../../../common/lifecycle.js';
import { rankByRendezvous } from '../../../state/resource/backends/index.js';
import type { ConfigView } from '../../../state/resource/configuration/index.js';
import type { DecisionLog } from '../../../state/resource/decision-log.js';
import type { HeldLease, LeaseStore } from '../../../state/resource/leases/index.js';
import type { NodeRegistry } from '../membership/index.js';

/** Signals that end a task. */
export interface TaskSignals {
  /** Start nothing new, finish what is in progress, then end. */
  readonly stop: AbortSignal;
  /** The lease has another holder: end at once, without a commit. */
  readonly lost: AbortSignal;
}

/** A running task. */
export interface RunnableTask {
  /** Runs until a signal ends it. */
  run(): Promise<void>;
  /** Whether nothing is in progress that a change of holder would delay. */
  isIdle(): boolean;
}

/** A task that one node runs. */
export interface SingletonTask {
  /** Name of the lease. */
  readonly name: string;
  readonly createTask: (lease: HeldLease, signals: TaskSignals) => RunnableTask;
}

/** Nodes that try to acquire a lease. Chosen, not measured: calls must not grow with the fleet. */
const CANDIDATES = 3;
/** Rounds, and so renewals, in the lease time. Chosen, not measured: three renewals in a row may fail. */
const RENEWALS_PER_LEASE = 4;
/** Rounds without a change of members until idle tasks move to the first candidate. Chosen. */
const ROUNDS_UNTIL_HANDOVER = 3;
/** Rounds for each attempt of the other candidates. Chosen, not measured. */
const SECONDARY_ROUNDS = 2;

type LeaseState = 'free' | 'held';
type LeaseEvent = 'acquired' | 'lost';
const LEASE_TABLE = { free: { acquired: 'held' }, held: { lost: 'free' } } as const;

interface Candidacy {
  readonly task: SingletonTask;
  /** Position in rendezvous order, 0 for the first candidate. */
  readonly rank: number;
}

interface RunningTask {
  readonly lease: HeldLease;
  readonly task: RunnableTask;
  readonly stop: AbortController;
  readonly lost: AbortController;
  readonly done: Promise<void>;
}

/** The singleton tasks of one node. */
export class SingletonTasks {
  private readonly running = new Map<string, RunningTask>();
  private readonly lifecycles = new Map<string, Lifecycle<LeaseState, LeaseEvent>>();
  private candidacies: readonly Candidacy[] = [];
  private candidacyKey = '';
  private candidacySinceRound = 0;
  private round = 0;
  private hasSession = false;

  /** `listTasks` returns the tasks that the configuration requires. */
  constructor(
    private readonly leases: LeaseStore,
    private readonly registry: NodeRegistry,
    private readonly view: ConfigView,
    private readonly decisions: DecisionLog,
    private readonly observer: LifecycleObserver,
    private readonly listTasks: () => readonly SingletonTask[],
  ) {}

  /** Renews, acquires and runs until stopped; then waits for the tasks and releases the leases. */
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

  /** Names of the tasks that this node runs. */
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
    for (const candidacy of this.candidacies) {
      if (signal.aborted || !this.leases.isValid) return;
      if (this.shouldTry(candidacy)) await this.tryStart(candidacy.task);
    }
    this.handOver();
  }

  /** The first candidate tries in each round, the others in each `SECONDARY_ROUNDS`th. */
  private shouldTry({ task, rank }: Candidacy): boolean {
    return !this.running.has(task.name) && (rank === 0 || this.round % SECONDARY_ROUNDS === 0);
  }

  /** An error is not reported: the next round tries again, and the table logs the store's health. */
  private async tryStart(task: SingletonTask): Promise<void> {
    const acquired = await this.leases.tryAcquire(task.name);
    if (acquired.isOk() && acquired.value) this.start(task, acquired.value);
  }

  /**
   * Releases idle tasks of which another node is the first candidate, once members and configuration have not
   * changed for a while. Without this, a node that started first, or took over for a restarted one, would
   * keep them for ever.
   */
  private handOver(): void {
    if (this.round - this.candidacySinceRound < ROUNDS_UNTIL_HANDOVER) return;
    const ranks = new Map(this.candidacies.map((one) => [one.task.name, one.rank]));
    for (const [name, { task, stop }] of this.running) {
      if (ranks.get(name) === 0 || stop.signal.aborted || !task.isIdle()) continue;
      void this.stopAndRelease(name);
    }
  }

  /** After a conflict the row was read again: it was written by an earlier process of this node. */
  private async renewSession(): Promise<void> {
    const renewed = await this.leases.renew();
    if (renewed.isErr() && renewed.error.failure === 'conflict') await this.leases.renew();
    for (const [name, task] of this.running) {
      if (this.leases.get(name)?.epoch !== task.lease.epoch) task.lost.abort();
    }
  }

  /** Recomputes the tasks that this node is a candidate for, when members or configuration have changed. */
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
    this.leases.drop(name);
    this.lifecycle(name).send('lost', reason);
  }

  /** Ends a task; the lease is released after the task's last commit. */
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
