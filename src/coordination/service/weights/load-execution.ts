/**
 * Executes one load command: confirms the lease, checks the replica's report, sends the command and waits
 * until the version is loaded. A replica rejects a delayed command by its fencing token and expected command
 * count, so retries are safe. An unanswered command may have been accepted and is awaited like an accepted
 * one.
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
/** For reports and commands. */
const CALL_TIMEOUT_MS = 800;
/** Time after which a load that was not seen to complete is scheduled again. */
const LOAD_TIMEOUT_MS = 4_000;
/** Time after which a replica that is idle and lacks the version is considered not to be loading. */
const IDLE_TIMEOUT_MS = LOAD_TIMEOUT_MS / 2;

/** Outcomes after which the replica may be loading. */
const MAY_BE_LOADING: ReadonlySet<string> = new Set(['accepted', 'unanswered']);

export interface LoadExecutionServices {
  readonly directory: ReplicaDirectory;
  readonly client: ReplicaClient;
  readonly lease: LeaderLease;
  readonly nodeName: string;
  readonly metrics: ServiceMetrics;
  readonly logger: DecisionLogger;
}

/** A version for a replica to load. */
export interface LoadTask {
  readonly state: ReplicaState;
  readonly model: string;
  readonly version: number;
}

export type LoadResult =
  /** The store did not confirm the lease. */
  | 'unconfirmed'
  /** Not loaded: the replica is busy, has restarted or rejected the command, or the confirmation expired. */
  | 'retry-later'
  /** The version is loaded, or the replica's state is unknown. */
  | 'ended';

/** State of the task according to a report. */
type LoadProgress = 'restarted' | 'loaded' | 'behind';

/** Target of the lease's handover guard: the address, which a replica keeps when it restarts. */
export function addressOf({ replica }: ReplicaState): string {
  return replica.address;
}

export class LoadExecution {
  constructor(
    private readonly services: LoadExecutionServices,
    private readonly durations: LoadDurations,
  ) {}

  /** Resolves when the load has ended. */
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
      event: 'order-given', // A load command was sent.
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

  /** Returns `undefined` while the replica may still be loading. */
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
   * Updates the directory if a report shows a restart or the loaded version before the replica's announcement
   * does. A report without a start time is assumed to be from the known process. Unavailable replicas are not
   * updated.
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
