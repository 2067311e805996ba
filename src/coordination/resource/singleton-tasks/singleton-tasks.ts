/**
 * Runs tasks that must run on one node of the fleet, each under a lease. The first `CANDIDATES` active nodes in
 * rendezvous order try to acquire the lease; the holder runs the task until the lease is lost. Tasks continue
 * while the store is unreachable, since no other node can acquire the lease and their writes are conditional
 * on its epoch.
 */
import { sleep } from '../../../common/clock.js';
import { Lifecycle, type LifecycleObserver } from '../../../common/lifecycle.js';
import { rankByRendezvous } from '../../../state/resource/backends/index.js';
import type { ConfigView } from '../../../state/resource/configuration/index.js';
import type { DecisionLog } from '../../../state/resource/decision-log.js';
import type { HeldLease, LeaseStore } from '../../../state/resource/leases/index.js';
import type { NodeRegistry } from '../membership/index.js';

export interface TaskSignals {
  /** Graceful: finish the work in progress, start nothing new. */
  readonly stop: AbortSignal;
  /** The lease is held by another node: end immediately, without a commit. */
  readonly lost: AbortSignal;
}

export interface RunnableTask {
  run(): Promise<void>;
  /** Whether no work is in progress that a handover would delay. */
  isIdle(): boolean;
}

export interface SingletonTask {
  /** Name of the lease. */
  readonly name: string;
  readonly createTask: (lease: HeldLease, signals: TaskSignals) => RunnableTask;
}

/** Nodes that compete for a lease; limits store calls in a large fleet. */
const CANDIDATES = 3;
/** Rounds per lease duration; three consecutive renewals may fail. */
const RENEWALS_PER_LEASE = 4;
/** Rounds without a change of members or configuration before idle tasks are handed over. */
const HANDOVER_DELAY_ROUNDS = 3;
/** Rounds between the attempts of candidates other than the first. */
const SECONDARY_ROUNDS = 2;

type LeaseState = 'free' | 'held';
type LeaseEvent = 'acquired' | 'lost';
const LEASE_TRANSITIONS = { free: { acquired: 'held' }, held: { lost: 'free' } } as const;

interface Candidacy {
  readonly task: SingletonTask;
  /** Position in rendezvous order, from 0. */
  readonly rank: number;
}

interface RunningTask {
  readonly lease: HeldLease;
  readonly task: RunnableTask;
  readonly stop: AbortController;
  readonly lost: AbortController;
  readonly done: Promise<void>;
}

export class SingletonTasks {
  private readonly running = new Map<string, RunningTask>();
  private readonly lifecycles = new Map<string, Lifecycle<LeaseState, LeaseEvent>>();
  private candidacies: readonly Candidacy[] = [];
  private candidacyKey = '';
  private candidacySinceRound = 0;
  private round = 0;
  private hasSession = false;

  /** `listTasks` returns the tasks required by the current configuration. */
  constructor(
    private readonly leases: LeaseStore,
    private readonly registry: NodeRegistry,
    private readonly view: ConfigView,
    private readonly decisions: DecisionLog,
    private readonly observer: LifecycleObserver,
    private readonly listTasks: () => readonly SingletonTask[],
  ) {}

  /** Acquires and renews leases until stopped, then waits for the tasks to end and releases their leases. */
  async run(signal: AbortSignal): Promise<void> {
    const intervalMs = this.leases.leaseMs / RENEWALS_PER_LEASE;
    while (!signal.aborted) {
      await this.runRound(signal);
      await sleep(intervalMs, signal);
    }
    const released = new AbortController();
    const releasing = this.releaseAll().finally(() => released.abort());
    // Tasks need valid leases for their last commits.
    while (!released.signal.aborted) {
      await this.renewSession();
      await sleep(intervalMs, released.signal);
    }
    await releasing;
  }

  runningNames(): string[] {
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
    this.handOverIdleTasks();
  }

  /** The first candidate tries in every round, the others in every `SECONDARY_ROUNDS`th round. */
  private shouldTry({ task, rank }: Candidacy): boolean {
    return !this.running.has(task.name) && (rank === 0 || this.round % SECONDARY_ROUNDS === 0);
  }

  /** Errors are ignored: the next round retries, and the table logs the health of the store. */
  private async tryStart(task: SingletonTask): Promise<void> {
    const acquired = await this.leases.tryAcquire(task.name);
    if (acquired.isOk() && acquired.value) this.start(task, acquired.value);
  }

  /**
   * Releases idle tasks whose first candidate is another node, once members and configuration are stable, to
   * rebalance tasks after nodes were started or restarted.
   */
  private handOverIdleTasks(): void {
    if (this.round - this.candidacySinceRound < HANDOVER_DELAY_ROUNDS) return;
    const ranks = new Map(this.candidacies.map((one) => [one.task.name, one.rank]));
    for (const [name, { task, stop }] of this.running) {
      if (ranks.get(name) === 0 || stop.signal.aborted || !task.isIdle()) continue;
      void this.stopAndRelease(name);
    }
  }

  /** Retries once after a conflict with a session row written by an earlier process of this node. */
  private async renewSession(): Promise<void> {
    const renewed = await this.leases.renew();
    if (renewed.isErr() && renewed.error.failure === 'conflict') await this.leases.renew();
    for (const [name, task] of this.running) {
      if (this.leases.get(name)?.epoch !== task.lease.epoch) task.lost.abort();
    }
  }

  /** Updates the tasks for which this node is a candidate, if members or configuration have changed. */
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
      // Shown by `explain`: this node is a candidate in rendezvous order.
      reason: 'in-line',
      inputs: { note: `epoch ${lease.epoch}` },
    });
    const running = task.createTask(lease, { stop: stop.signal, lost: lost.signal });
    const done = running.run().then(
      () => this.recordEnd(task.name, 'task ended'),
      (cause: unknown) => this.recordEnd(task.name, `task failed: ${String(cause)}`),
    );
    this.running.set(task.name, { lease, task: running, stop, lost, done });
  }

  private recordEnd(name: string, reason: string): void {
    this.running.delete(name);
    this.leases.drop(name);
    this.lifecycle(name).send('lost', reason);
  }

  /** Stops a task and releases its lease after its last commit. */
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
    const created = new Lifecycle<LeaseState, LeaseEvent>(
      'lease',
      name,
      'free',
      LEASE_TRANSITIONS,
      this.observer,
    );
    this.lifecycles.set(name, created);
    return created;
  }
}
