/**
 * Executes one load command: confirms the lease, checks the replica, sends the command and waits until the
 * replica has loaded.
 *
 * Relies on: the lease (fencing token), the replica's report and its count of commands, which makes a late
 * command void. An unanswered command may have been accepted, so it is awaited like an accepted one;
 * repeating it later is safe.
 */
import { monotonicMs, sleep } from '../../../common/clock.js';
import type { DecisionLogger } from '../../../common/decision-logger.js';
import type { ServiceMetrics } from '../../../common/service-metrics.js';
import type {
  CommandOutcome,
  LoadMode,
  ReplicaClient,
  ReplicaReport,
} from '../../../protocol/service/replica.js';
import type { ReplicaDirectory, ReplicaState } from '../../../state/service/replicas/index.js';
import type { LeaderLease } from '../leadership/index.js';
import { firstPollDelayMs, type LoadDurations, nextPollDelayMs } from './load-timing.js';

const LOAD_MODE: LoadMode = 'retain';
/** Longest wait for a report or the answer to a command, milliseconds. Chosen, not measured. */
const CALL_TIMEOUT_MS = 800;
/** Time after which a load whose end was not seen is planned again. Chosen, not measured. */
const LOAD_TIMEOUT_MS = 4_000;
/** Time after which an idle replica without the version counts as not loading. Chosen, not measured. */
const IDLE_TIMEOUT_MS = LOAD_TIMEOUT_MS / 2;

/** Outcomes after which the replica may be loading. */
const MAY_BE_LOADING: ReadonlySet<string> = new Set(['accepted', 'unanswered']);

/** What commands are executed with. */
export interface LoadExecutionServices {
  readonly directory: ReplicaDirectory;
  readonly client: ReplicaClient;
  readonly lease: LeaderLease;
  readonly nodeName: string;
  readonly metrics: ServiceMetrics;
  readonly logger: DecisionLogger;
}

/** A version that a replica should load. */
export interface LoadTask {
  readonly state: ReplicaState;
  readonly model: string;
  readonly version: number;
}

/** How an execution ended. */
export type LoadResult =
  /** The store did not confirm the lease. */
  | 'unconfirmed'
  /** Nothing was loaded: the replica is busy, restarted or rejected it, or the confirmation expired. */
  | 'retry-later'
  /** The replica has loaded, or nothing more is known of it. */
  | 'ended';

/** What a report says of the wanted load. */
type LoadProgress = 'restarted' | 'loaded' | 'behind';

/** What two leaders are fenced by: a replica that restarts is a new one, but at the same address. */
export function addressOf({ replica }: ReplicaState): string {
  return replica.address;
}

/** Executes commands of one node. */
export class LoadExecution {
  constructor(
    private readonly services: LoadExecutionServices,
    private readonly durations: LoadDurations,
  ) {}

  /** Executes one command; resolves when the load has ended. */
  async execute(task: LoadTask, signal: AbortSignal): Promise<LoadResult> {
    const { state } = task;
    const { client, lease, directory } = this.services;
    const confirmation = await lease.confirm(addressOf(state));
    if (!confirmation) return 'unconfirmed';
    const report = await client.report(state.replica, CALL_TIMEOUT_MS);
    if (report.isErr() || report.value.isBusy) return 'retry-later';
    const progress = this.applyReport(task, report.value);
    if (progress !== 'behind') return progress === 'loaded' ? 'ended' : 'retry-later';
    if (!confirmation.isFresh() || !directory.isAvailable(state)) return 'retry-later';
    const outcome = await this.send(task, confirmation.epoch, report.value.commandCount);
    if (MAY_BE_LOADING.has(outcome)) return this.awaitLoad(task, signal);
    return outcome === 'already-loaded' ? 'ended' : 'retry-later';
  }

  private async send(
    { state, model, version }: LoadTask,
    fencingToken: number,
    expectedCommandCount: number,
  ): Promise<CommandOutcome | 'unanswered'> {
    const { client, nodeName, metrics, logger } = this.services;
    const startedAtMs = monotonicMs();
    const command = { model, version, mode: LOAD_MODE, holder: nodeName, fencingToken, expectedCommandCount };
    const answer = await client.load(state.replica, command, CALL_TIMEOUT_MS);
    const outcome = answer.isOk() ? answer.value : 'unanswered';
    metrics.loadCommands.inc({ outcome });
    logger.record({
      event: 'order-given',
      replica: state.replica.id,
      model,
      version,
      fencingToken,
      outcome,
      tookMs: Math.round(monotonicMs() - startedAtMs),
    });
    return outcome;
  }

  private async awaitLoad(task: LoadTask, signal: AbortSignal): Promise<LoadResult> {
    const startedAtMs = monotonicMs();
    const { uncontendedMs } = this.durations;
    await sleep(firstPollDelayMs(uncontendedMs), signal);
    while (monotonicMs() - startedAtMs < LOAD_TIMEOUT_MS && !signal.aborted) {
      const end = await this.checkLoad(task, startedAtMs);
      if (end) return end;
      await sleep(nextPollDelayMs(uncontendedMs, monotonicMs() - startedAtMs), signal);
    }
    return 'ended';
  }

  /** How the load has ended; `undefined` while it may go on. */
  private async checkLoad(task: LoadTask, startedAtMs: number): Promise<LoadResult | undefined> {
    const { state, model, version } = task;
    const { client, directory } = this.services;
    if (!directory.isAvailable(state)) return 'ended';
    if (state.versionOf(model) >= version) {
      this.durations.record(monotonicMs() - startedAtMs);
      return 'ended';
    }
    const report = await client.report(state.replica, CALL_TIMEOUT_MS);
    if (report.isErr()) return undefined;
    const elapsedMs = monotonicMs() - startedAtMs;
    const progress = this.applyReport(task, report.value);
    if (progress === 'restarted') return 'retry-later';
    if (progress === 'loaded') this.durations.record(elapsedMs);
    const isIdle = !report.value.isBusy && elapsedMs > IDLE_TIMEOUT_MS;
    return progress === 'loaded' || isIdle ? 'ended' : undefined;
  }

  /**
   * Takes over what a report knows before the replica's announcement does: a later incarnation, or newer
   * versions. A report that names no start is taken for one of the known incarnation; while the replica is
   * unavailable nothing is taken over.
   */
  private applyReport({ state, model, version }: LoadTask, report: ReplicaReport): LoadProgress {
    const { replica } = state;
    const { startedAtMs = replica.startedAtMs, modelVersions } = report;
    const isRestarted = startedAtMs !== replica.startedAtMs;
    const isLoaded = (modelVersions.get(model) ?? 0) >= version;
    if ((isRestarted || isLoaded) && this.services.directory.isAvailable(state))
      this.services.directory.set({ ...replica, startedAtMs, modelVersions });
    if (isRestarted) return 'restarted';
    return isLoaded ? 'loaded' : 'behind';
  }
}
