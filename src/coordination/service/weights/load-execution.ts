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
import { firstReportDelayMs, type LoadTimes, nextReportDelayMs } from './load-timing.js';

const MODE: LoadMode = 'retain';
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
export interface WantedLoad {
  readonly state: ReplicaState;
  readonly model: string;
  readonly version: number;
}

/** How an execution ended. */
export type LoadEnd =
  /** The store did not confirm the lease. */
  | 'unconfirmed'
  /** Nothing was loaded: the replica is busy, restarted or rejected it, or the confirmation expired. */
  | 'retry-later'
  /** The replica has loaded, or nothing more is known of it. */
  | 'ended';

/** What a report says of the wanted load. */
type Progress = 'restarted' | 'loaded' | 'behind';

/** What two leaders are fenced by: a replica that restarts is a new one, but at the same address. */
export function targetOf({ replica }: ReplicaState): string {
  return replica.address;
}

/** Executes commands of one node. */
export class LoadExecution {
  constructor(
    private readonly services: LoadExecutionServices,
    private readonly times: LoadTimes,
  ) {}

  /** Executes one command; resolves when the load has ended. */
  async execute(wanted: WantedLoad, signal: AbortSignal): Promise<LoadEnd> {
    const { state } = wanted;
    const { client, lease, directory } = this.services;
    const confirmation = await lease.confirm(targetOf(state));
    if (!confirmation) return 'unconfirmed';
    const report = await client.report(state.replica, CALL_TIMEOUT_MS);
    if (report.isErr() || report.value.isBusy) return 'retry-later';
    const progress = this.takeReport(wanted, report.value);
    if (progress !== 'behind') return progress === 'loaded' ? 'ended' : 'retry-later';
    if (!confirmation.isFresh() || !directory.isAvailable(state)) return 'retry-later';
    const outcome = await this.send(wanted, confirmation.epoch, report.value.commandCount);
    if (MAY_BE_LOADING.has(outcome)) return this.awaitLoad(wanted, signal);
    return outcome === 'already-loaded' ? 'ended' : 'retry-later';
  }

  private async send(
    { state, model, version }: WantedLoad,
    fencingToken: number,
    expectedCommandCount: number,
  ): Promise<CommandOutcome | 'unanswered'> {
    const { client, nodeName, metrics, logger } = this.services;
    const startedAtMs = monotonicMs();
    const command = { model, version, mode: MODE, holder: nodeName, fencingToken, expectedCommandCount };
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

  private async awaitLoad(wanted: WantedLoad, signal: AbortSignal): Promise<LoadEnd> {
    const startedAtMs = monotonicMs();
    const { usualMs } = this.times;
    await sleep(firstReportDelayMs(usualMs), signal);
    while (monotonicMs() - startedAtMs < LOAD_TIMEOUT_MS && !signal.aborted) {
      const end = await this.checkLoad(wanted, startedAtMs);
      if (end) return end;
      await sleep(nextReportDelayMs(usualMs, monotonicMs() - startedAtMs), signal);
    }
    return 'ended';
  }

  /** How the load has ended; `undefined` while it may go on. */
  private async checkLoad(wanted: WantedLoad, startedAtMs: number): Promise<LoadEnd | undefined> {
    const { state, model, version } = wanted;
    const { client, directory } = this.services;
    if (!directory.isAvailable(state)) return 'ended';
    if (state.versionOf(model) >= version) {
      this.times.note(monotonicMs() - startedAtMs);
      return 'ended';
    }
    const report = await client.report(state.replica, CALL_TIMEOUT_MS);
    if (report.isErr()) return undefined;
    const elapsedMs = monotonicMs() - startedAtMs;
    const progress = this.takeReport(wanted, report.value);
    if (progress === 'restarted') return 'retry-later';
    if (progress === 'loaded') this.times.note(elapsedMs);
    const isIdle = !report.value.isBusy && elapsedMs > IDLE_TIMEOUT_MS;
    return progress === 'loaded' || isIdle ? 'ended' : undefined;
  }

  /**
   * Takes over what a report knows before the replica's announcement does: a later incarnation, or newer
   * versions. A report that names no start is taken for one of the known incarnation; while the replica is
   * unavailable nothing is taken over.
   */
  private takeReport({ state, model, version }: WantedLoad, report: ReplicaReport): Progress {
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
